/**
 * Whether the key-value service has recovered from its last restore. After a restore from
 * an older backup, entries of servers are out of date for a while, and acknowledged
 * writes are missing for longer. A box that starts then cannot tell which servers have
 * left, nor what is missing. So a leader stores when each of both is settled in an era,
 * and a starting box reads it.
 */
import {FIRST_ERA, mayLackWrites, RESTORED_ENTRY_MS} from "../core/eras.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {KvStore} from "../ports/ports.js"
import type {StoreCaller} from "../types/store-calls.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** Follows the era in the stored value once acknowledged writes are settled, too. */
const WRITES_SETTLED = "writes"

/** What is settled in an era. Writes are settled later than the entries of servers. */
interface Settled {
  readonly era: number
  readonly writes: boolean
}

export interface SettledEraOptions {
  readonly kv: KvStore
  /** Key of the settled era. */
  readonly key: string
  readonly eras: StoreEras
  readonly post: (event: ServingEvent) => void
  readonly log: Log
}

export class SettledEra {
  private pendingCheck_: Promise<boolean> | undefined
  private checked_ = false
  /** Until then this box may read restored entries. */
  private restoredEntriesUntil_ = -Infinity
  /** What this box last read or stored. */
  private settled_: Settled | undefined
  private writing_ = false

  constructor(private readonly options_: SettledEraOptions) {}

  /**
   * Whether the settled era was read. A service that reports no era is never restored
   * from a backup.
   */
  get isChecked(): boolean {
    return this.checked_ || this.options_.eras.era === undefined
  }

  /** Reads which era is settled. False if the service did not answer. */
  check(): Promise<boolean> {
    this.pendingCheck_ ??= this.read().finally(() => (this.pendingCheck_ = undefined))
    return this.pendingCheck_
  }

  /** Whether the servers that this box reads may come from restored entries. */
  mayReadRestoredEntries(now: number): boolean {
    return now < this.restoredEntriesUntil_
  }

  /** Stores what is settled in the era, once it is. Called by a leader. */
  settleIfDue(now: number): void {
    const {known} = this.options_.eras
    if (!known || !this.checked_ || this.writing_) return
    if (this.mayReadRestoredEntries(now)) return
    if (known.restored && now - known.begunBy < RESTORED_ENTRY_MS) return
    const settled = {era: known.era, writes: !mayLackWrites(known, now)}
    if (this.isStored(settled)) return
    this.writing_ = true
    void this.settle(settled).finally(() => (this.writing_ = false))
  }

  private isStored({era, writes}: Settled): boolean {
    return this.settled_?.era === era && (this.settled_.writes || !writes)
  }

  private async read(): Promise<boolean> {
    const {eras, log} = this.options_
    if (this.checked_) return true
    try {
      const entry = await this.storeFor("era-check").get(this.options_.key)
      this.settled_ = entry && parseSettled(entry.value)
    } catch (cause) {
      this.logFailure(cause)
      return false
    }
    // Without the key, no leader has settled any era, or the backup is older than the
    // first time that one did.
    const era = eras.era ?? FIRST_ERA
    const {settled_: settled} = this
    const isCurrent = settled ? settled.era === era : era <= FIRST_ERA
    const hasWrites = settled ? isCurrent && settled.writes : isCurrent
    // Servers are settled at the earliest this long after a restore.
    const begunBy = clockNow() - (isCurrent ? RESTORED_ENTRY_MS : 0)
    if (!hasWrites) eras.assumeRestore(begunBy)
    if (!isCurrent) this.reportRestoredEntries()
    if (!hasWrites) log("era-doubted", {era, settled: settled?.era ?? -1})
    this.checked_ = true
    return true
  }

  private reportRestoredEntries(): void {
    this.restoredEntriesUntil_ = clockNow() + RESTORED_ENTRY_MS
    this.options_.post({type: "copied", until: this.restoredEntriesUntil_})
  }

  private async settle(settled: Settled): Promise<void> {
    try {
      await this.storeFor("era-settle").put(this.options_.key, formatSettled(settled))
    } catch (cause) {
      return this.logFailure(cause)
    }
    this.settled_ = settled
    this.options_.log("era-settled", {...settled})
  }

  private logFailure(cause: unknown): void {
    const reason = (cause as Error).message
    this.options_.log("kv-trouble", {prefix: this.options_.key, reason})
  }

  private storeFor(caller: StoreCaller): KvStore {
    return callAs(this.options_.kv, {caller})
  }
}

function parseSettled(value: string): Settled {
  const [era, writes] = value.split(" ")
  return {era: Number(era), writes: writes === WRITES_SETTLED}
}

function formatSettled({era, writes}: Settled): string {
  return writes ? `${era} ${WRITES_SETTLED}` : String(era)
}
