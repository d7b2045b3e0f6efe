/** Finds the leader in the key-value service, or becomes it. */
import {KvUnavailable, KvUnknown} from "../errors.js"
import {
  type Claim,
  confirmLeadership,
  createLeadership,
  suspendLeadership,
  endLeadership,
  type LeadershipOptions,
  isLeader,
  extendLease,
  beginLeadership
} from "../core/leadership.js"
import {toFence} from "../core/eras.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {LeaderRecord} from "../types/box-messages.js"
import type {StoreCaller} from "../types/store-calls.js"
import {firstOf, pause} from "../utils/promises.js"
import {clockNow} from "./clock.js"
import {callAs} from "./store-counter.js"
import type {StoreEras} from "./era-source.js"

const RENEW_MS = 300

/** How often a box without a leader looks for one, at first and with few boxes, milliseconds. */
const LOOK_MS = 250

/**
 * The same for each box there is: all of them together look some 100 times a second, which finds a
 * lapsed lease within 10 ms whatever their number.
 */
const LOOK_BOX_MS = 8

/** Boxes that find no leader claim the lead after a random part of this, milliseconds. */
const CLAIM_SCATTER_MS = 200

/**
 * Boxes that run for less than half as long as most claim within the first part of the scatter:
 * where boxes are restarted in turn, these have had theirs. A lead that moves on with each restart
 * spends most of its time waiting for its first order. One that has just started may fail again.
 */
const YOUNG_AGE_SHARE = 0.5
const YOUNG_SCATTER_SHARE = 0.3
const SETTLED_MS = 2_000

/**
 * Boxes much weaker than others leave the claim to these until all of them have looked, and some, milliseconds. A
 * leader tells all boxes of all engines: one that can't keep up is late with everything.
 */
const WEAK_WAIT_MS = 150

/** Between two tries to claim the lead again in a new era, milliseconds. */
const CONFIRM_MS = 50

/** A lease that may have run out while the machine was suspended is renewed within this, or given up, milliseconds. */
const RENEW_AGAIN_MS = 400

/** A renewal that has no answer after this is asked of other boxes, too, milliseconds. */
const HELP_AFTER_MS = 150

interface Renewal {
  /** Whether the service still knew the lease. */
  readonly known: boolean
  /** When the call that renewed it, or the wish for it, went out. */
  readonly sentAt: number
  readonly helped: boolean
}

export interface ElectionOptions extends LeadershipOptions {
  readonly key: string
  readonly self: LeaderRecord
  readonly eras: StoreEras
}

export interface ElectionEvents {
  readonly won: (fence: number) => void
  readonly lost: (reason: string) => void
  /** The era rose while this box led: it orders no more until `confirmed`. */
  readonly doubted: () => void
  readonly confirmed: (fence: number) => void
  readonly found: (leader: LeaderRecord) => void
  /** How many boxes there are, as far as is known. */
  readonly boxes: () => number
  /** Since the processes of half of the boxes started, as far as is known, milliseconds. */
  readonly medianAgeMs: (now: number) => number
  /** Whether other boxes can do much more than this one. */
  readonly isWeak: () => boolean
  /** Has another box renew the lease; rejects where none can. */
  readonly renewElsewhere: (lease: string) => Promise<boolean>
  /** The lease is now renewed by other boxes, or by this one again. */
  readonly helped: (helped: boolean) => void
}

export class LeaderElection {
  readonly leadership = createLeadership()
  private stopped_ = false
  private timer_: NodeJS.Timeout | undefined
  /** Whether the box needs no look at the key now: it hears the leader. */
  private settled_ = false
  private busy_ = false
  private helped_ = false
  /** Until then a lease that has run out by the clock may still be renewed. */
  private renewUntil_ = -Infinity
  private readonly startedAt_ = clockNow()

  constructor(
    private readonly kv_: KvStore,
    private readonly options_: ElectionOptions,
    private readonly events_: ElectionEvents
  ) {
    this.later(0)
  }

  /** The box hears its leader, or no longer. */
  settle(settled: boolean): void {
    this.settled_ = settled
  }

  /** The store came back from an older copy, which may not hold the lease of this box. */
  doubt(): void {
    if (this.leadership.fence === undefined) return
    suspendLeadership(this.leadership)
    this.events_.doubted()
    if (this.busy_) return
    clearTimeout(this.timer_)
    this.later(0)
  }

  /**
   * The machine may have been suspended, or its time of day was set. The lease may have run out: it is renewed
   * before the lead is given up, and no order leaves until then.
   */
  doubtLease(): void {
    if (this.leadership.fence === undefined || isLeader(this.leadership, clockNow()))
      return
    this.renewUntil_ = clockNow() + RENEW_AGAIN_MS
    if (this.busy_) return
    clearTimeout(this.timer_)
    this.later(0)
  }

  /** Gives the lead up if it has it, so that another box need not wait for the lease. */
  async stop(): Promise<void> {
    this.stopped_ = true
    clearTimeout(this.timer_)
    const {lease} = this.leadership
    this.end("stopping")
    if (lease !== undefined)
      await this.as("lease-end")
        .revokeLease(lease)
        .catch(() => undefined)
  }

  /** Gives the lead up to a box that can do more. */
  resign(): void {
    const {lease} = this.leadership
    if (lease === undefined) return
    this.end("a stronger box is there")
    void this.as("lease-end")
      .revokeLease(lease)
      .catch(() => undefined)
  }

  private as(caller: StoreCaller): KvStore {
    return callAs(this.kv_, {caller})
  }

  private later(ms: number): void {
    this.timer_ = setTimeout(() => void this.turn(), ms)
  }

  private async turn(): Promise<void> {
    if (this.stopped_ || this.busy_) return
    this.busy_ = true
    try {
      if (this.leadership.fence !== undefined) await this.hold()
      else if (!this.settled_) await this.look()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
    } finally {
      this.busy_ = false
    }
    this.check()
    if (!this.stopped_) this.later(this.pauseMs())
  }

  private pauseMs(): number {
    const {fence, confirmed} = this.leadership
    if (fence === undefined) return this.lookMs()
    return confirmed && isLeader(this.leadership, clockNow()) ? RENEW_MS : CONFIRM_MS
  }

  private hold(): Promise<void> {
    return this.leadership.confirmed ? this.renew() : this.confirm()
  }

  private lookMs(): number {
    return Math.max(LOOK_MS, this.events_.boxes() * LOOK_BOX_MS)
  }

  /** Ends the lead by the own clock, whatever call still waits. */
  check(): void {
    const now = clockNow()
    if (this.leadership.fence === undefined || isLeader(this.leadership, now)) return
    if (now >= this.renewUntil_) this.end("lease ran out")
  }

  private async renew(): Promise<void> {
    const {lease} = this.leadership
    if (lease === undefined) return
    const sentAt = clockNow()
    const own = this.as("lease-renew")
      .keepAlive(lease)
      .then(known => ({known, sentAt, helped: false}))
    const renewal = await firstOf([own, this.askHelp(own, lease)])
    if (this.leadership.lease !== lease) return
    if (renewal.helped !== this.helped_) this.events_.helped(renewal.helped)
    this.helped_ = renewal.helped
    // The lease is of the era before: what counts is who claims first in the new one.
    if (!this.leadership.confirmed) return
    if (!renewal.known) return this.end("lease is gone")
    // It counts from when the box that renewed was asked, so that its way shortens it only.
    extendLease(this.leadership, renewal.sentAt, this.options_)
  }

  /** Where the service does not answer this box soon, others may reach it. */
  private async askHelp(own: Promise<Renewal>, lease: string): Promise<Renewal> {
    const answer = await Promise.race([own.catch(() => undefined), pause(HELP_AFTER_MS)])
    if (answer) return answer
    const sentAt = clockNow()
    const known = await this.events_.renewElsewhere(lease)
    return {known, sentAt, helped: true}
  }

  /**
   * Claims the lead again in the new era. The copy may hold the claim of an earlier leader, whose lease
   * had ended before this one's began; a claim of the new era is another's, who was first.
   */
  private async confirm(): Promise<void> {
    const {key, ttlMs} = this.options_
    const kv = this.as("lead-confirm")
    const sentAt = clockNow()
    const lease = await kv.grantLease(ttlMs)
    const entry = await kv.get(key)
    const fence = this.isTaken(entry) ? undefined : await this.claim(kv, lease, entry)
    if (this.leadership.fence === undefined || fence === undefined) {
      void kv.revokeLease(lease).catch(() => undefined)
      return this.end("the store came back without its lease")
    }
    confirmLeadership(
      this.leadership,
      this.toClaim(fence, lease, sentAt),
      clockNow(),
      this.options_
    )
    this.events_.confirmed(fence)
  }

  private isTaken(entry: KvEntry | undefined): boolean {
    if (!entry) return false
    const {incarnation, era} = JSON.parse(entry.value) as LeaderRecord
    return era === entry.era && incarnation !== this.options_.self.incarnation
  }

  private toClaim(fence: number, lease: string, sentAt: number): Claim {
    return {fence, lease, sentAt, eraBegunBy: this.options_.eras.known?.begunBy}
  }

  private async look(): Promise<void> {
    const entry = await this.as("leader-look").get(this.options_.key)
    if (this.stopped_) return
    if (!entry) return this.claimLater()
    const leader = JSON.parse(entry.value) as LeaderRecord
    if (leader.incarnation !== this.options_.self.incarnation) this.events_.found(leader)
  }

  private async claimLater(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, this.claimDelayMs()))
    if (this.stopped_) return
    const kv = this.as("leader-claim")
    const sentAt = clockNow()
    const lease = await kv.grantLease(this.options_.ttlMs)
    const fence = await this.claim(kv, lease, undefined)
    if (fence === undefined) {
      void this.as("lease-end")
        .revokeLease(lease)
        .catch(() => undefined)
      return
    }
    const now = clockNow()
    if (this.stopped_)
      return void this.as("lease-end")
        .revokeLease(lease)
        .catch(() => undefined)
    beginLeadership(
      this.leadership,
      this.toClaim(fence, lease, sentAt),
      now,
      this.options_
    )
    if (isLeader(this.leadership, now)) this.events_.won(fence)
    else this.end("claim took too long")
  }

  private claimDelayMs(): number {
    const now = clockNow()
    const age = now - this.startedAt_
    const young =
      age > SETTLED_MS && age < YOUNG_AGE_SHARE * this.events_.medianAgeMs(now)
    const scatter = Math.random() * CLAIM_SCATTER_MS * (young ? YOUNG_SCATTER_SHARE : 1)
    return scatter + (this.events_.isWeak() ? this.lookMs() + WEAK_WAIT_MS : 0)
  }

  /** The fence of a claim in place of what stood there; undefined: another was first. */
  private async claim(
    kv: KvStore,
    lease: string,
    standing: KvEntry | undefined
  ): Promise<number | undefined> {
    const {key, self, eras} = this.options_
    const {era} = eras
    const value = JSON.stringify(era === undefined ? self : {...self, era})
    try {
      const result = await kv.put(key, value, {
        expectRevision: standing?.revision ?? 0,
        expectEra: standing?.era,
        lease
      })
      return result.ok ? toFence(result) : undefined
    } catch (cause) {
      if (!(cause instanceof KvUnknown)) throw cause
      // The claim may have been taken though its answer was lost.
      const entry = await kv.get(key)
      const taken = entry?.value === value && entry.era === era
      return taken ? toFence(entry) : undefined
    }
  }

  private end(reason: string): void {
    if (this.leadership.fence === undefined) return
    endLeadership(this.leadership, clockNow())
    this.events_.lost(reason)
  }
}
