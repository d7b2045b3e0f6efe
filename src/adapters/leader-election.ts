/** Leader election by a leased key in the key-value service. */
import {KvUnavailable, KvUnknown} from "../errors.js"
import {
  type Claim,
  confirmLeadership,
  createLeadership,
  suspendLeadership,
  endLeadership,
  type LeadershipOptions,
  holdsLease,
  isLeader,
  leaseMs,
  extendLease,
  beginLeadership,
  replaceLease
} from "../core/leadership.js"
import {toFence} from "../core/eras.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {LeaderRecord} from "../types/box-messages.js"
import type {StoreCaller} from "../types/store-calls.js"
import {firstSuccess, pause} from "../utils/promises.js"
import {clockNow} from "./clock.js"
import {parseLeaderRecord} from "./leader-key.js"
import {callAs, slownessOf} from "./store-counter.js"
import type {StoreEras} from "./era-source.js"

const RENEW_INTERVAL_MS = 300

/** Interval at which a box without a leader reads the leader's key, with few boxes. */
const LOOK_INTERVAL_MS = 250

/**
 * The same interval for each box, with many boxes: all of them together read the key some
 * 100 times a second, which detects an expired lease within 10 ms whatever their number.
 */
const LOOK_INTERVAL_PER_BOX_MS = 8

/** Boxes that find no leader claim the leadership after a random part of this time. */
const CLAIM_SCATTER_MS = 200

/**
 * In a rolling restart, boxes whose process is younger than this share of the median age
 * claim within the first part of the scatter, as they have already been restarted.
 * Otherwise the leadership would move on with each restart, and leaders would spend most
 * of their time waiting for their first order. Boxes that started less than `SETTLED_MS`
 * ago are not preferred, as they may fail again.
 */
const YOUNG_AGE_SHARE = 0.5
const YOUNG_SCATTER_SHARE = 0.3
const SETTLED_MS = 2_000

/**
 * Boxes much weaker than others delay their claim until all boxes have read the key, and
 * by this time more. A leader sends the state of all engines to all boxes; one that
 * cannot keep up delays everything.
 */
const WEAK_CLAIM_DELAY_MS = 150

/** Interval of the attempts to claim the leadership again in a new era. */
const CONFIRM_INTERVAL_MS = 50

/**
 * A lease that may have expired while the machine was suspended, or while this process had
 * no processor, is renewed within this time; otherwise the leadership ends.
 */
const EXPIRED_RENEW_MS = 400

/** Checks of the lease are further apart only if this process had no processor. */
const STARVED_CHECK_MS = 200

/**
 * Other boxes are asked to renew the lease, too, if the service has not answered after
 * this time.
 */
const HELP_AFTER_MS = 150

/** A claim renews its lease meanwhile if granting it took this share of its time. */
const SLOW_GRANT_SHARE = 0.25

/**
 * A lease that lasts longer than usual is replaced once answers of the service have been in
 * time for so long: the next leader waits for its end if this box is killed.
 */
const SHORTEN_AFTER_MS = 2_000

interface HeldLease {
  readonly lease: string
  /** How long it lasts (ms). */
  readonly leaseMs: number
  /** When the last answered call was sent that granted or renewed it. */
  countsFrom: number
}

interface Renewal {
  /** Whether the service still knew the lease. */
  readonly known: boolean
  /** When the call that renewed the lease, or the request to other boxes, was sent. */
  readonly sentAt: number
  readonly byOthers: boolean
}

export interface ElectionOptions extends LeadershipOptions {
  readonly key: string
  readonly self: LeaderRecord
  readonly eras: StoreEras
}

export interface ElectionEvents {
  readonly won: (fence: number) => void
  readonly lost: (reason: string) => void
  /**
   * The store was restored while this box was leader: it sends no orders until
   * `confirmed`.
   */
  readonly suspended: () => void
  readonly confirmed: (fence: number) => void
  readonly leaderFound: (leader: LeaderRecord) => void
  /** The leader's key holds no record of a leader. */
  readonly unreadable: (key: string, revision: number) => void
  /**
   * The key-value service answered at `at` that there is no leader, to a question sent at
   * `askedAt`.
   */
  readonly noLeaderFound: (askedAt: number, at: number) => void
  /** The last known number of boxes. */
  readonly boxCount: () => number
  /** The last known median age of the boxes' processes, milliseconds. */
  readonly medianAgeMs: (now: number) => number
  /** Whether other boxes should lead rather than this one. */
  readonly isWeak: () => boolean
  /** Has other boxes renew the lease. Rejects if none could. */
  readonly renewByOthers: (lease: string) => Promise<boolean>
  /** Reports whether the lease is now renewed by other boxes or by this one again. */
  readonly renewedByOthers: (helped: boolean) => void
}

export class LeaderElection {
  readonly leadership = createLeadership()
  private stopped_ = false
  private timer_: NodeJS.Timeout | undefined
  /**
   * Whether the box has a link to the leader, so that it need not read the leader's key.
   */
  private linked_ = false
  private busy_ = false
  private renewedByOthers_ = false
  /** Revision of the leader's key at which it was last found unreadable. */
  private unreadableRevision_: number | undefined
  /** When the last renewal was sent. */
  private renewedAt_ = -Infinity
  /** Since when no leader was found. Undefined while there is one. */
  private missingSince_: number | undefined
  /** Whether the next look is due at once. */
  private looksAtOnce_ = false
  /** Until then a lease that has expired by the clock may still be renewed. */
  private renewUntil_ = -Infinity
  private checkedAt_ = clockNow()
  /** Since when leases need not last longer than usual. Undefined if they need to. */
  private promptSince_: number | undefined
  private readonly startedAt_ = clockNow()

  constructor(
    private readonly kv_: KvStore,
    private readonly options_: ElectionOptions,
    private readonly events_: ElectionEvents
  ) {
    this.scheduleTurn(0)
  }

  /** Sets whether the box has a link to the leader. */
  setLinked(linked: boolean): void {
    this.linked_ = linked
    if (linked) this.missingSince_ = undefined
  }

  /**
   * Suspends the leadership after a restore of the store, whose backup may lack this
   * box's lease.
   */
  suspend(): void {
    if (this.leadership.fence === undefined) return
    suspendLeadership(this.leadership)
    this.events_.suspended()
    if (this.busy_) return
    clearTimeout(this.timer_)
    this.scheduleTurn(0)
  }

  /**
   * Handles a possible suspension of the machine or change of its clock, after which the
   * lease may have expired. Tries to renew it before the leadership ends; no order is
   * sent until then.
   */
  recheckLease(): void {
    if (this.leadership.fence === undefined || isLeader(this.leadership, clockNow()))
      return
    this.renewUntil_ = clockNow() + EXPIRED_RENEW_MS
    if (this.busy_) return
    clearTimeout(this.timer_)
    this.scheduleTurn(0)
  }

  /**
   * Stops the election. Revokes the lease, so that the next leader need not wait for its
   * expiry.
   */
  async stop(): Promise<void> {
    this.stopped_ = true
    clearTimeout(this.timer_)
    const {lease} = this.leadership
    this.loseLeadership("stopping")
    if (lease !== undefined)
      await this.storeAs("lease-end")
        .revokeLease(lease)
        .catch(() => undefined)
  }

  /** Ends the leadership in favour of another box. */
  resign(reason: string): void {
    const {lease} = this.leadership
    if (lease === undefined) return
    this.loseLeadership(reason)
    this.endLease(lease)
  }

  private storeAs(caller: StoreCaller): KvStore {
    return callAs(this.kv_, {caller})
  }

  private scheduleTurn(ms: number): void {
    this.timer_ = setTimeout(() => void this.runTurn(), ms)
  }

  private async runTurn(): Promise<void> {
    if (this.stopped_ || this.busy_) return
    this.busy_ = true
    try {
      if (this.leadership.fence !== undefined) await this.keepLeadership()
      else if (!this.linked_) await this.lookForLeader()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
    } finally {
      this.busy_ = false
    }
    this.endIfExpired()
    if (!this.stopped_) this.scheduleTurn(this.intervalMs())
  }

  private intervalMs(): number {
    const {fence, confirmed} = this.leadership
    if (fence === undefined) {
      const waitMs = this.looksAtOnce_ ? 0 : this.lookIntervalMs()
      this.looksAtOnce_ = false
      return waitMs
    }
    const now = clockNow()
    if (!confirmed || !isLeader(this.leadership, now)) return CONFIRM_INTERVAL_MS
    return Math.max(0, this.renewedAt_ + RENEW_INTERVAL_MS - now)
  }

  /**
   * Waits for a renewal only until the next one is due: answers of the service may take
   * longer than that, and the lease lasts as long as one of them arrives in time.
   */
  private async keepLeadership(): Promise<void> {
    if (!this.leadership.confirmed) return this.confirm()
    const now = clockNow()
    this.renewedAt_ = now
    const renewal = this.renew()
    renewal.catch(() => undefined)
    await Promise.race([renewal, pause(RENEW_INTERVAL_MS)])
    if (this.shouldShorten(now)) await this.shortenLease()
  }

  /** Whether the lease lasts longer than it has had to for a while. */
  private shouldShorten(now: number): boolean {
    const {ttlMs} = this.options_
    const isPrompt = leaseMs(this.options_, slownessOf(this.kv_)) === ttlMs
    this.promptSince_ = isPrompt ? (this.promptSince_ ?? now) : undefined
    if (this.promptSince_ === undefined || !isLeader(this.leadership, now)) return false
    return this.leadership.leaseMs > ttlMs && now - this.promptSince_ >= SHORTEN_AFTER_MS
  }

  /**
   * Moves the leader's key to a lease that lasts for the usual time. Resigns if it remains
   * unknown whether the key was moved: the key would end with a lease that nobody renews.
   */
  private async shortenLease(): Promise<void> {
    const {key, ttlMs} = this.options_
    const {lease: earlier} = this.leadership
    const kv = this.storeAs("lease-renew")
    const sentAt = clockNow()
    const lease = await kv.grantLease(ttlMs)
    const entry = await kv.get(key)
    if (!entry || this.readRecord(entry)?.lease !== earlier) return this.endLease(lease)
    const held: HeldLease = {lease, leaseMs: ttlMs, countsFrom: sentAt}
    const move = this.claim(kv, lease, entry).then(
      fence => (fence === undefined ? "unknown" : "moved"),
      (cause: Error) => (cause instanceof KvUnavailable ? "unmoved" : "unknown")
    )
    await this.renewDuring(move, held)
    const outcome = await move
    const isSame = earlier !== undefined && this.leadership.lease === earlier
    if (outcome === "moved" && isSame && this.leadership.confirmed) {
      const claim = {lease, leaseMs: ttlMs, sentAt: held.countsFrom}
      replaceLease(this.leadership, claim, this.options_)
      return this.endLease(earlier)
    }
    this.endLease(lease)
    if (outcome !== "unmoved" && isSame) this.resign("its lease could not be replaced")
  }

  private endLease(lease: string): void {
    void this.storeAs("lease-end")
      .revokeLease(lease)
      .catch(() => undefined)
  }

  private lookIntervalMs(): number {
    const forAllMs = this.events_.boxCount() * LOOK_INTERVAL_PER_BOX_MS
    return Math.max(LOOK_INTERVAL_MS * slownessOf(this.kv_), forAllMs)
  }

  /**
   * Ends the leadership if the lease has expired by this box's clock, even if a call is
   * pending. Called at intervals.
   */
  endIfExpired(): void {
    const now = clockNow()
    const wasStarved = now - this.checkedAt_ > STARVED_CHECK_MS
    this.checkedAt_ = now
    if (this.leadership.fence === undefined || holdsLease(this.leadership, now)) return
    if (wasStarved) this.awaitRenewal(now)
    if (now >= this.renewUntil_) this.loseLeadership("lease ran out")
  }

  /**
   * Waits for the answer to a renewal, which may have arrived while this process had no
   * processor. If the service still knows the lease, no other box has led. No order is sent
   * until then.
   */
  private awaitRenewal(now: number): void {
    const latest = this.leadership.heldUntil + this.options_.ttlMs
    this.renewUntil_ = Math.min(now + EXPIRED_RENEW_MS, latest)
  }

  private async renew(): Promise<void> {
    const {lease} = this.leadership
    if (lease === undefined) return
    const sentAt = clockNow()
    const own = this.storeAs("lease-renew")
      .keepAlive(lease)
      .then(known => ({known, sentAt, byOthers: false}))
    const renewal = await firstSuccess([own, this.renewByOthers(own, lease)])
    if (this.leadership.lease !== lease) return
    if (renewal.byOthers !== this.renewedByOthers_)
      this.events_.renewedByOthers(renewal.byOthers)
    this.renewedByOthers_ = renewal.byOthers
    // The lease belongs to the previous era: the first claim of the new era decides.
    if (!this.leadership.confirmed) return
    if (!renewal.known) return this.loseLeadership("lease is gone")
    // The lease counts from when the request was sent, so transit time can only shorten
    // it.
    extendLease(this.leadership, renewal.sentAt, this.options_)
  }

  /**
   * Asks other boxes to renew the lease if the service does not answer this box in time.
   */
  private async renewByOthers(own: Promise<Renewal>, lease: string): Promise<Renewal> {
    const answer = await Promise.race([own.catch(() => undefined), pause(HELP_AFTER_MS)])
    if (answer) return answer
    const sentAt = clockNow()
    const known = await this.events_.renewByOthers(lease)
    return {known, sentAt, byOthers: true}
  }

  /**
   * Claims the leadership again in the new era. The backup may hold the claim of an
   * earlier leader, whose lease ended before this box's began; that claim is replaced. A
   * claim that another box made in the new era wins.
   */
  private async confirm(): Promise<void> {
    const {key, ttlMs} = this.options_
    const kv = this.storeAs("lead-confirm")
    const sentAt = clockNow()
    const lease = await kv.grantLease(ttlMs)
    const entry = await kv.get(key)
    const fence = this.isClaimedByOther(entry)
      ? undefined
      : await this.claim(kv, lease, entry)
    if (this.leadership.fence === undefined || fence === undefined) {
      this.endLease(lease)
      return this.loseLeadership("the store came back without its lease")
    }
    confirmLeadership(
      this.leadership,
      this.toClaim(fence, {lease, leaseMs: ttlMs, countsFrom: sentAt}),
      clockNow(),
      this.options_
    )
    this.events_.confirmed(fence)
  }

  private isClaimedByOther(entry: KvEntry | undefined): boolean {
    if (!entry) return false
    const record = this.readRecord(entry)
    if (!record) return true
    const {incarnation, era} = record
    return era === entry.era && incarnation !== this.options_.self.incarnation
  }

  /**
   * Returns the leader that the key names. Undefined if another writer stored something
   * else: the box that leads may go on, so that no other one may claim.
   */
  private readRecord({value, revision}: KvEntry): LeaderRecord | undefined {
    const record = parseLeaderRecord(value)
    if (!record && revision !== this.unreadableRevision_) {
      this.unreadableRevision_ = revision
      this.events_.unreadable(this.options_.key, revision)
    }
    return record
  }

  private toClaim(fence: number, {countsFrom, ...held}: HeldLease): Claim {
    const {known} = this.options_.eras
    return {fence, ...held, sentAt: countsFrom, eraBegunBy: known?.begunBy}
  }

  private async lookForLeader(): Promise<void> {
    const askedAt = clockNow()
    const entry = await this.storeAs("leader-look").get(this.options_.key)
    if (this.stopped_) return
    if (!entry) {
      this.events_.noLeaderFound(askedAt, clockNow())
      return this.mustDefer() ? undefined : this.claimLater()
    }
    this.missingSince_ = undefined
    const leader = this.readRecord(entry)
    if (!leader) return
    if (leader.incarnation !== this.options_.self.incarnation) {
      return this.events_.leaderFound(leader)
    }
    // An earlier claim of this box was carried out late, and nobody renews its lease.
    if (leader.lease !== undefined) this.endLease(leader.lease)
  }

  /**
   * Whether this box leaves the claim to others for now. It looks for a leader meanwhile.
   */
  private mustDefer(): boolean {
    const now = clockNow()
    this.missingSince_ ??= now
    const delayMs = this.lookIntervalMs() + WEAK_CLAIM_DELAY_MS
    return this.events_.isWeak() && now - this.missingSince_ < delayMs
  }

  private async claimLater(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, this.claimDelayMs()))
    if (this.stopped_) return
    const kv = this.storeAs("leader-claim")
    const sentAt = clockNow()
    const lastsMs = leaseMs(this.options_, slownessOf(this.kv_))
    const lease = await kv.grantLease(lastsMs)
    const held: HeldLease = {lease, leaseMs: lastsMs, countsFrom: sentAt}
    const claim = this.claim(kv, lease, undefined)
    await this.renewDuring(claim, held)
    const fence = await claim
    if (fence === undefined) {
      this.endLease(lease)
      // Another box was first, so there is a leader to follow.
      this.looksAtOnce_ = true
      return
    }
    const now = clockNow()
    if (this.stopped_) return this.endLease(lease)
    beginLeadership(this.leadership, this.toClaim(fence, held), now, this.options_)
    this.missingSince_ = undefined
    this.promptSince_ = undefined
    this.renewedAt_ = Math.max(this.renewedAt_, held.countsFrom)
    if (holdsLease(this.leadership, now)) this.events_.won(fence)
    else this.loseLeadership("claim took too long")
  }

  /**
   * Renews the lease of a claim at the usual intervals until the claim is answered. Does
   * nothing if the lease was granted soon.
   */
  private async renewDuring(claim: Promise<unknown>, held: HeldLease): Promise<void> {
    const grantedMs = clockNow() - held.countsFrom
    if (grantedMs < SLOW_GRANT_SHARE * this.options_.ttlMs) return
    const answered = claim.then(
      () => true,
      () => true
    )
    const first = this.renewHeld(held)
    while (!(await Promise.race([answered, pause(RENEW_INTERVAL_MS)])))
      void this.renewHeld(held)
    await first
  }

  /** Renews a lease once. A renewal that is answered after the claim extends it, too. */
  private async renewHeld(held: HeldLease): Promise<void> {
    const sentAt = clockNow()
    const known = await this.storeAs("lease-renew")
      .keepAlive(held.lease)
      .catch(() => false)
    if (!known) return
    held.countsFrom = Math.max(held.countsFrom, sentAt)
    const {lease, confirmed} = this.leadership
    if (lease === held.lease && confirmed)
      extendLease(this.leadership, sentAt, this.options_)
  }

  private claimDelayMs(): number {
    const now = clockNow()
    const age = now - this.startedAt_
    const young =
      age > SETTLED_MS && age < YOUNG_AGE_SHARE * this.events_.medianAgeMs(now)
    const scatterMs = CLAIM_SCATTER_MS * slownessOf(this.kv_)
    return Math.random() * scatterMs * (young ? YOUNG_SCATTER_SHARE : 1)
  }

  /**
   * Replaces the `standing` entry by a claim. Returns its fence; undefined if another box
   * was first.
   */
  private async claim(
    kv: KvStore,
    lease: string,
    standing: KvEntry | undefined
  ): Promise<number | undefined> {
    const {key, self, eras} = this.options_
    const {era} = eras
    const record: LeaderRecord = {...self, lease}
    const value = JSON.stringify(era === undefined ? record : {...record, era})
    try {
      const result = await kv.put(key, value, {
        expectRevision: standing?.revision ?? 0,
        expectEra: standing?.era,
        lease
      })
      return result.ok ? toFence(result) : undefined
    } catch (cause) {
      if (!(cause instanceof KvUnknown)) throw cause
      // The claim may have been stored although its answer was lost. Its lease tells it
      // from earlier claims, which may be carried out only now.
      const entry = await kv.get(key).catch((failure: Error) => {
        throw new KvUnknown(failure.message)
      })
      const taken = entry?.value === value && entry.era === era
      return taken ? toFence(entry) : undefined
    }
  }

  private loseLeadership(reason: string): void {
    if (this.leadership.fence === undefined) return
    endLeadership(this.leadership, clockNow())
    this.events_.lost(reason)
  }
}
