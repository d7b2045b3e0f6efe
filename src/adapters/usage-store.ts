/** Keeps in the key-value service how much organisations may have used as a leader ends, for the next one. */
import * as z from "zod"
import type {FleetEvent} from "../core/serving-events.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {StoreCaller} from "../types/store-calls.js"
import type {UsageProjections} from "../types/usage-messages.js"
import type {StoreEras} from "./era-source.js"
import {pause} from "../utils/promises.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** After a failure it is tried again so much later, milliseconds. */
const RETRY_MS = 250

const stored = z.object({
  /** In which it was written; undefined: the service told none. */
  era: z.number().optional(),
  outlooks: z.record(z.string(), z.array(z.number().nonnegative()))
})

/** What was read, where an answer came; `outlooks` is undefined where it may be older than what was given. */
interface ReadUsage {
  readonly outlooks: UsageProjections | undefined
}

type Place = Pick<KvEntry, "revision" | "era">

const NOWHERE: Place = {revision: 0}

export interface UsageStoreOptions {
  readonly kv: KvStore
  readonly key: string
  readonly post: (event: FleetEvent) => void
  readonly leading: () => boolean
  /** The fence while this box leads for sure; undefined: it does not. */
  readonly fence: () => number | undefined
  readonly eras: StoreEras
  readonly log: Log
}

export class UsageStore {
  /** Where the value stands that this leader read or wrote last. */
  private place_: Place = NOWHERE
  private saving_: Promise<void> = Promise.resolve()

  constructor(private readonly options_: UsageStoreOptions) {}

  /** Reads what earlier leaders left, however often that takes while this box leads. */
  async read(): Promise<void> {
    const {leading, fence, post} = this.options_
    while (leading()) {
      const lead = fence()
      const left = await this.attempt(() => this.readOnce())
      // Read for an earlier lead of this box it may lack what others gave since.
      if (left && lead !== undefined && fence() === lead) {
        return post({type: "usage-read", ...left})
      }
      await pause(RETRY_MS)
    }
  }

  /** Writes in place of what this leader read or wrote last: no later leader's is overwritten. */
  save(save: number, value: UsageProjections): Promise<void> {
    this.saving_ = this.saving_.then(() => this.saveNow(save, value))
    return this.saving_
  }

  /** What was to be stored is, or has failed, or takes too long. */
  async settle(limitMs: number): Promise<void> {
    await Promise.race([this.saving_, pause(limitMs)])
  }

  private async saveNow(save: number, value: UsageProjections): Promise<void> {
    const {fence, post} = this.options_
    const lead = fence()
    const {era} = this.options_.eras
    const text = JSON.stringify({era, outlooks: value})
    const ok = await this.attempt(() => this.write(text))
    if (!ok) {
      await pause(RETRY_MS)
      await this.attempt(() => this.readOnce())
    }
    post({type: "usage-saved", save, ok: ok === true && fence() === lead})
  }

  private async readOnce(): Promise<ReadUsage> {
    const {key, eras, log} = this.options_
    const entry = await this.as("usage-read").get(key)
    this.place_ = entry ?? NOWHERE
    // No leader has ever given anything.
    if (!entry) return {outlooks: {}}
    const {success, data, error} = stored.safeParse(parse(entry.value))
    if (success) return {outlooks: data.era === eras.era ? data.outlooks : undefined}
    log("entry-unreadable", {key, revision: entry.revision, reason: error.message})
    return {outlooks: undefined}
  }

  private async write(value: string): Promise<boolean> {
    const {revision, era} = this.place_
    const result = await this.as("usage-save").put(this.options_.key, value, {
      expectRevision: revision,
      expectEra: era
    })
    if (result.ok) this.place_ = {revision: result.revision, era: result.era}
    return result.ok
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

  private as(caller: StoreCaller): KvStore {
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
