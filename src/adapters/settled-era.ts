/**
 * Whether entries of servers are all of the present era of the key-value service. After a return from an
 * older copy they are not for a while, and a box that starts then remembers no server that had left. So a
 * leader writes down which era is settled, and a box that starts reads it.
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
  /** Where the settled era stands. */
  readonly key: string
  readonly eras: StoreEras
  readonly post: (event: ServingEvent) => void
  readonly log: Log
}

export class SettledEra {
  private check_: Promise<boolean> | undefined
  private checked_ = false
  /** Until then the entries that this box reads may be the copy's. */
  private doubtUntil_ = -Infinity
  /** The era that is settled, as far as this box knows. */
  private settled_: number | undefined
  private writing_ = false

  constructor(private readonly options_: SettledEraOptions) {}

  /** Whether it is known if this box can trust what it reads. A service that tells no era has no copies. */
  get isChecked(): boolean {
    return this.checked_ || this.options_.eras.era === undefined
  }

  /** Reads which era is settled; false: the service did not answer. */
  check(): Promise<boolean> {
    this.check_ ??= this.read().finally(() => (this.check_ = undefined))
    return this.check_
  }

  /** Whether this box cannot vouch for the servers that it reads of. */
  isDoubted(now: number): boolean {
    return now < this.doubtUntil_
  }

  /** A leader tells that the era is settled, once it is. */
  settleIfDue(now: number): void {
    const {known} = this.options_.eras
    if (!known || !this.checked_ || this.writing_) return
    if (known.era === this.settled_ || this.isDoubted(now)) return
    if (known.restored && now - known.begunBy < RESTORED_ENTRY_MS) return
    this.writing_ = true
    void this.settle(known.era).finally(() => (this.writing_ = false))
  }

  private async read(): Promise<boolean> {
    const {eras} = this.options_
    if (this.checked_) return true
    try {
      const entry = await this.as("era-check").get(this.options_.key)
      // Without the key no leader has settled any era, or the copy is older than the first time that one did.
      this.settled_ = entry ? Number(entry.value) : undefined
      const isSettled =
        this.settled_ === undefined
          ? (eras.era ?? FIRST_ERA) <= FIRST_ERA
          : this.settled_ === eras.era
      if (!isSettled) this.doubt()
    } catch (cause) {
      this.noteFailure(cause)
      return false
    }
    this.checked_ = true
    return true
  }

  private doubt(): void {
    const {post, log, eras} = this.options_
    this.doubtUntil_ = clockNow() + RESTORED_ENTRY_MS
    post({type: "copied", until: this.doubtUntil_})
    log("era-doubted", {era: eras.era ?? -1, settled: this.settled_ ?? -1})
  }

  private async settle(era: number): Promise<void> {
    try {
      await this.as("era-settle").put(this.options_.key, String(era))
    } catch (cause) {
      return this.noteFailure(cause)
    }
    this.settled_ = era
    this.options_.log("era-settled", {era})
  }

  private noteFailure(cause: unknown): void {
    const reason = (cause as Error).message
    this.options_.log("kv-trouble", {prefix: this.options_.key, reason})
  }

  private as(caller: StoreCaller): KvStore {
    return callAs(this.options_.kv, {caller})
  }
}
