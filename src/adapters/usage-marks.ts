/** Keeps the marks of a leader in the key-value service. See `core/usage-marks.ts`. */
import {
  listMarks,
  MAX_RENEWAL_AGE_MS,
  provenIdleMs,
  RENEW_INTERVAL_MS,
  type UsageMark
} from "../core/usage-marks.js"
import type {UsageOptions} from "../core/usage-limits.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvStore} from "../ports/ports.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

export interface UsageMarksOptions {
  readonly kv: KvStore
  /** Prefix of the marks' keys. */
  readonly prefix: string
  readonly usage: UsageOptions
  readonly leading: () => boolean
  /** Has other boxes renew a lease. Rejects if none could. */
  readonly renewElsewhere: (lease: string) => Promise<boolean>
  readonly log: Log
}

/** A mark, and the lease under which its key stands. */
interface HeldMark extends UsageMark {
  /** Undefined until this leader has taken the mark over or made it. */
  lease: string | undefined
  /** The last lease that the service did not know. */
  unknownLease: string | undefined
  /** Revision of a key that stands under no known lease. 0 if there is no key. */
  replacedRevision: number
  /** When the last answered renewal was sent. */
  renewedAt: number
  isMaking: boolean
}

export class UsageMarks {
  private readonly marks_: HeldMark[]
  private timer_: NodeJS.Timeout | undefined

  constructor(private readonly options_: UsageMarksOptions) {
    this.marks_ = listMarks(options_.usage).map(mark => ({
      ...mark,
      lease: undefined,
      unknownLease: undefined,
      replacedRevision: 0,
      renewedAt: -Infinity,
      isMaking: false
    }))
  }

  /** Whether allowances may be granted now. */
  isHeld(now: number): boolean {
    return this.marks_.every(({renewedAt}) => now - renewedAt < MAX_RENEWAL_AGE_MS)
  }

  /** Names of the marks that this leader keeps. */
  get names(): readonly string[] {
    return this.marks_.map(({name}) => name)
  }

  /**
   * Reads which marks earlier leaders left, and then keeps them while this box leads.
   * Returns for how long nothing was granted. `kept` are the marks that the last leader kept:
   * the absence of another one proves nothing.
   *
   * @throws KvUnavailable or KvUnknown if the service did not answer.
   */
  async takeOver(kept: readonly string[] = this.names): Promise<number> {
    const {kv, prefix} = this.options_
    const {entries} = await callAs(kv, {caller: "usage-read"}).list(prefix)
    const leases = new Map(
      entries.map(({key, value}) => [key.slice(prefix.length), value])
    )
    for (const mark of this.marks_) {
      mark.lease = leases.get(mark.name)
      mark.renewedAt = -Infinity
    }
    clearInterval(this.timer_)
    this.timer_ = setInterval(() => void this.renewAll(), RENEW_INTERVAL_MS)
    this.timer_.unref()
    await this.renewAll()
    const proving = this.marks_.filter(({name}) => kept.includes(name))
    return provenIdleMs(proving, new Set(leases.keys()))
  }

  private async renewAll(): Promise<void> {
    if (!this.options_.leading()) return clearInterval(this.timer_)
    await Promise.all(
      this.marks_.map(mark =>
        mark.lease === undefined ? this.make(mark) : this.renew(mark, mark.lease)
      )
    )
  }

  private async renew(mark: HeldMark, lease: string): Promise<void> {
    const {kv, renewElsewhere} = this.options_
    const sentAt = clockNow()
    const own = callAs(kv, {caller: "usage-mark"}).keepAlive(lease)
    const known = await own.catch(() => renewElsewhere(lease)).catch(() => undefined)
    if (mark.lease !== lease || known === undefined) return
    if (known) mark.renewedAt = Math.max(mark.renewedAt, sentAt)
    else {
      mark.lease = undefined
      mark.unknownLease = lease
    }
  }

  private async make(mark: HeldMark): Promise<void> {
    if (mark.isMaking) return
    mark.isMaking = true
    const {prefix, log} = this.options_
    const key = `${prefix}${mark.name}`
    try {
      await this.create(mark, key)
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      log("kv-trouble", {prefix: key, reason: cause.message})
    } finally {
      mark.isMaking = false
    }
  }

  /**
   * Creates the key of a mark. If another leader's call has created it meanwhile, its lease
   * is the one to renew: a key must never move to a lease that nobody renews.
   */
  private async create(mark: HeldMark, key: string): Promise<void> {
    const kv = callAs(this.options_.kv, {caller: "usage-mark"})
    const sentAt = clockNow()
    const lease = await kv.grantLease(mark.ttlMs)
    const expectRevision = mark.replacedRevision
    const result = await kv.put(key, lease, {lease, expectRevision})
    mark.replacedRevision = 0
    if (result.ok) {
      mark.lease = lease
      mark.renewedAt = Math.max(mark.renewedAt, sentAt)
      return
    }
    void kv.revokeLease(lease).catch(() => undefined)
    const {current} = result
    // Another writer's value names no lease of the service.
    if (current?.value === mark.unknownLease)
      mark.replacedRevision = current?.revision ?? 0
    else mark.lease = current?.value
  }
}
