/**
 * Whether all entries of servers were written in the current era of the key-value
 * service. After a restore from an older backup some are out of date for a while, and a
 * box that starts then cannot tell which servers have left. So a leader stores which
 * era is settled, and a starting box reads it.
 */
import {RESTORED_ENTRY_MS, FIRST_ERA} from "../core/eras.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {KvStore} from "../ports/ports.js"
import type {StoreCaller} from "../types/store-calls.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

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
  /** The last settled era that this box read or stored. */
  private settled_: number | undefined
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

  /** Stores that the era is settled, once it is. Called by a leader. */
  settleIfDue(now: number): void {
    const {known} = this.options_.eras
    if (!known || !this.checked_ || this.writing_) return
    if (known.era === this.settled_ || this.mayReadRestoredEntries(now)) return
    if (known.restored && now - known.begunBy < RESTORED_ENTRY_MS) return
    this.writing_ = true
    void this.settle(known.era).finally(() => (this.writing_ = false))
  }

  private async read(): Promise<boolean> {
    const {eras} = this.options_
    if (this.checked_) return true
    try {
      const entry = await this.storeFor("era-check").get(this.options_.key)
      // Without the key, no leader has settled any era, or the backup is older than the
      // first time that one did.
      this.settled_ = entry ? Number(entry.value) : undefined
      const isSettled =
        this.settled_ === undefined
          ? (eras.era ?? FIRST_ERA) <= FIRST_ERA
          : this.settled_ === eras.era
      if (!isSettled) this.reportRestoredEntries()
    } catch (cause) {
      this.logFailure(cause)
      return false
    }
    this.checked_ = true
    return true
  }

  private reportRestoredEntries(): void {
    const {post, log, eras} = this.options_
    this.restoredEntriesUntil_ = clockNow() + RESTORED_ENTRY_MS
    post({type: "copied", until: this.restoredEntriesUntil_})
    log("era-doubted", {era: eras.era ?? -1, settled: this.settled_ ?? -1})
  }

  private async settle(era: number): Promise<void> {
    try {
      await this.storeFor("era-settle").put(this.options_.key, String(era))
    } catch (cause) {
      return this.logFailure(cause)
    }
    this.settled_ = era
    this.options_.log("era-settled", {era})
  }

  private logFailure(cause: unknown): void {
    const reason = (cause as Error).message
    this.options_.log("kv-trouble", {prefix: this.options_.key, reason})
  }

  private storeFor(caller: StoreCaller): KvStore {
    return callAs(this.options_.kv, {caller})
  }
}
