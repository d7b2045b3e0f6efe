/**
 * Stores the usage projections of organisations in the key-value service for the next
 * leader.
 */
import * as z from "zod"
import type {FleetEvent} from "../core/serving-events.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvEntry, KvPutOptions, KvPutResult, KvStore} from "../ports/ports.js"
import type {StoreCaller} from "../types/store-calls.js"
import type {UsageClaims, UsageProjections} from "../types/usage-messages.js"
import {FIRST_ERA} from "../core/eras.js"
import {UNNAMED_MARKS} from "../core/usage-marks.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"
import type {UsageMarks} from "./usage-marks.js"
import {pause} from "../utils/promises.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

const RETRY_MS = 250

/** After a failed write the service is not tried for this time: each call is paid for. */
const OWN_CALL_PAUSE_MS = 500

const projections = z.record(z.string(), z.array(z.number().nonnegative()))

const storedUsage = z.object({
  /** Era of the write. Undefined if the service reported none. */
  era: z.number().optional(),
  outlooks: projections,
  /** Whether the leader that wrote the value kept marks. */
  marked: z.boolean().optional(),
  /** Names of these marks. Undefined if an earlier program wrote the value. */
  marks: z.array(z.string()).optional(),
  /** Undefined if an earlier program wrote the value. */
  claims: z
    .object({
      boxes: z.array(z.string()),
      leader: z.object({box: z.string(), usage: projections}),
      most: projections,
      unclaimed: projections
    })
    .optional()
})

/** An answered read. `outlooks` is undefined if it may lack usage granted since. */
interface ReadUsage {
  readonly outlooks: UsageProjections | undefined
  readonly claims?: UsageClaims | undefined
  /** How long no earlier leader can have granted anything. */
  readonly endedForMs?: number
  readonly marked?: boolean | undefined
  readonly marks?: readonly string[] | undefined
}

/** What the key held at a time when there may have been no leader. */
interface SeenPosition {
  readonly position: Position
  readonly at: number
  /** When there certainly was no leader, later than `at`. Undefined if not known. */
  leaderlessAt?: number
}

type Position = Pick<KvEntry, "revision" | "era">

const NO_POSITION: Position = {revision: 0}

export interface UsageStoreOptions {
  readonly kv: KvStore
  readonly key: string
  readonly post: (event: FleetEvent) => void
  readonly leading: () => boolean
  /** Fencing token while this box certainly leads. Undefined otherwise. */
  readonly fence: () => number | undefined
  readonly eras: StoreEras
  /** How long a leader may go on after the store was restored without its lease. */
  readonly leaseTtlMs: number
  readonly marks: Pick<UsageMarks, "takeOver" | "names">
  /** Has another box write a value. */
  readonly writeElsewhere: (
    key: string,
    value: string,
    options: KvPutOptions
  ) => Promise<KvPutResult>
  readonly log: Log
}

export class UsageStore {
  /** Position of the value that this leader last read or wrote. */
  private position_: Position = NO_POSITION
  private pendingSave_: Promise<void> = Promise.resolve()
  /** Before then other boxes write, without a call of this box. */
  private ownCallsFrom_ = -Infinity
  private isHelped_ = false
  /** Undefined while there is a leader, and until the key has been read since. */
  private seen_: SeenPosition | undefined
  private isLooking_ = false
  /** When this box last had a leader, or led. */
  private leaderSeenAt_ = -Infinity

  constructor(private readonly options_: UsageStoreOptions) {}

  /** Reads the usage stored by earlier leaders. Retries while this box leads. */
  async read(): Promise<void> {
    const {leading, fence, post} = this.options_
    while (leading()) {
      const fenceBefore = fence()
      const usage = await this.attempt(() => this.readWithMarks())
      // A read for an earlier leadership of this box may lack usage that other leaders
      // granted since.
      if (usage && fenceBefore !== undefined && fence() === fenceBefore) {
        this.noteLeader()
        return post({type: "usage-read", ...usage})
      }
      await pause(RETRY_MS)
    }
  }

  private async readWithMarks(): Promise<ReadUsage> {
    const usage = await this.readOnce()
    const {endedForMs = 0, marked = false, marks = UNNAMED_MARKS} = usage
    const idleMs = await this.options_.marks.takeOver(marks)
    // An absent mark proves nothing of the time in which this box itself saw a leader.
    const provenMs = marked ? Math.min(idleMs, clockNow() - this.leaderSeenAt_) : 0
    return {...usage, endedForMs: Math.max(endedForMs, provenMs)}
  }

  /**
   * Records that there was no leader, as the service answered at `at` to a question sent at
   * `askedAt`. A leader stores usage before it grants any, so none has granted anything
   * since if the key is still as it was before that question.
   */
  noteNoLeader(askedAt: number, at: number): void {
    const seen = this.seen_
    if (!seen) return void this.look()
    if (askedAt > seen.at) seen.leaderlessAt ??= at
  }

  /** Records that there is a leader. */
  noteLeader(): void {
    this.leaderSeenAt_ = clockNow()
    this.seen_ = undefined
  }

  private async look(): Promise<void> {
    if (this.isLooking_) return
    this.isLooking_ = true
    const {key} = this.options_
    const entry = await this.attempt(async () => ({
      found: await this.storeFor("usage-read").get(key)
    }))
    this.isLooking_ = false
    if (!entry) return
    this.seen_ = {position: entry.found ?? NO_POSITION, at: clockNow()}
  }

  /**
   * Replaces the value last read or written. A value of a later leader isn't
   * overwritten.
   */
  save(save: number, outlooks: UsageProjections, claims: UsageClaims): Promise<void> {
    this.pendingSave_ = this.pendingSave_.then(() =>
      this.saveNow(save, {outlooks, claims})
    )
    return this.pendingSave_
  }

  /** Waits until pending saves have ended, at most `limitMs`. */
  async waitForSaves(limitMs: number): Promise<void> {
    await Promise.race([this.pendingSave_, pause(limitMs)])
  }

  private async saveNow(
    save: number,
    value: {outlooks: UsageProjections; claims: UsageClaims}
  ): Promise<void> {
    const {fence, post} = this.options_
    const fenceBefore = fence()
    this.leaderSeenAt_ = clockNow()
    const {eras, marks} = this.options_
    const {era} = eras
    const text = JSON.stringify({era, marked: true, marks: marks.names, ...value})
    const ok = await this.attempt(() => this.write(text))
    if (!ok) {
      await pause(RETRY_MS)
      await this.attempt(() => this.readOnce())
    }
    post({type: "usage-saved", save, ok: ok === true && fence() === fenceBefore})
  }

  private async readOnce(): Promise<ReadUsage> {
    const {key, eras, log} = this.options_
    const entry = await this.storeFor("usage-read").get(key)
    this.position_ = entry ?? NO_POSITION
    // No leader has stored any usage yet, or the backup is older than its first write.
    if (!entry) return this.wasRestored ? this.restoredUsage() : {outlooks: {}}
    const {success, data, error} = storedUsage.safeParse(parse(entry.value))
    if (success && data.era === eras.era) {
      return {...data, endedForMs: this.leaderlessMs(entry)}
    }
    if (success) return this.restoredUsage()
    log("entry-unreadable", {key, revision: entry.revision, reason: error.message})
    return {outlooks: undefined}
  }

  /** Returns for how long no leader can have granted anything, by what the key holds. */
  private leaderlessMs({revision, era}: Position): number {
    const {position, leaderlessAt} = this.seen_ ?? {}
    if (leaderlessAt === undefined) return 0
    const isSame = position?.revision === revision && position.era === era
    return isSame ? clockNow() - leaderlessAt : 0
  }

  private get wasRestored(): boolean {
    return (this.options_.eras.era ?? FIRST_ERA) > FIRST_ERA
  }

  private restoredUsage(): ReadUsage {
    const {eras, leaseTtlMs} = this.options_
    const sinceMs = eras.known ? clockNow() - eras.known.begunBy : 0
    return {outlooks: undefined, endedForMs: Math.max(0, sinceMs - leaseTtlMs)}
  }

  private async write(value: string): Promise<boolean> {
    const {key, writeElsewhere} = this.options_
    const {revision, era} = this.position_
    const condition = {expectRevision: revision, expectEra: era}
    const result = await this.writeOwn(value, condition)
    if (result) return this.recordWrite(result)
    const byOthers = await writeElsewhere(key, value, condition)
    this.setHelped(true)
    // An earlier write without an answer may have been carried out. This box cannot read
    // the value, and only a leader writes it.
    if (!byOthers.ok && byOthers.current) this.position_ = byOthers.current
    return this.recordWrite(byOthers)
  }

  /** Returns undefined if the service does not answer this box. */
  private async writeOwn(
    value: string,
    condition: KvPutOptions
  ): Promise<KvPutResult | undefined> {
    if (clockNow() < this.ownCallsFrom_) return undefined
    try {
      const result = await this.storeFor("usage-save").put(
        this.options_.key,
        value,
        condition
      )
      this.setHelped(false)
      return result
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      this.ownCallsFrom_ = clockNow() + OWN_CALL_PAUSE_MS
      return undefined
    }
  }

  private recordWrite(result: KvPutResult): boolean {
    if (result.ok) this.position_ = {revision: result.revision, era: result.era}
    return result.ok
  }

  private setHelped(isHelped: boolean): void {
    if (this.isHelped_ === isHelped) return
    this.isHelped_ = isHelped
    this.options_.log(isHelped ? "usage-helped" : "usage-own")
  }

  private async attempt<T>(call: () => Promise<T>): Promise<T | undefined> {
    try {
      return await call()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      const {key, log} = this.options_
      log("kv-trouble", {prefix: key, reason: cause.message})
      return undefined
    }
  }

  private storeFor(caller: StoreCaller): KvStore {
    return callAs(this.options_.kv, {caller})
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
