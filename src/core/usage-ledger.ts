/**
 * The leader's count of organisations' usage: allowances that boxes hold, and what they
 * used.
 *
 * The count is lost with the leader. It is therefore bounded by a usage projection stored
 * in the key-value service: an upper bound of the usage that still counts, now and at
 * each later step, whenever this leader ends. The next leader counts that as used. An
 * allowance is granted only within the limit and within the stored projection, so that
 * the proof in `usage-limits.ts` holds over any number of leaders.
 *
 * A projection assumes more than was used: growth, and allowances that expire unused. With
 * it the leader stores its claims: the boxes that it is connected to, and a projection of
 * all other usage. Boxes state their accounts to the next leader. Once all claimed boxes
 * did, it counts their statements and the unclaimed projection instead of the total. For
 * each of a few boxes that did not, it counts the most that the last leader let a box
 * have. The leader's own box may end with it, so it has a projection of its own.
 */
import type {
  AccountStatement,
  AllowanceRequest,
  AllowanceGrant,
  UsageClaims,
  UsageProjections
} from "../types/usage-messages.js"
import {CountedUsage, PROJECTION_STEP_MS} from "./counted-usage.js"
import {
  createAccount,
  dropUnclaimed,
  takeOldest,
  type UsageAccount,
  usageOf
} from "./usage-accounts.js"
import {
  ALLOWANCE_LIFETIME_MS,
  usageLifetimeMs,
  type UsageOptions
} from "./usage-limits.js"
import {UsageBucket, type UsagePace} from "./usage-pace.js"
import {
  addProjection,
  addTimed,
  higherOf,
  lowerOf,
  projectSum,
  roomIn,
  sumTotals
} from "./usage-projections.js"

/**
 * Growth that the stored projection allows, as a share of the limit. More means fewer
 * writes, but leaves the next leader less to grant.
 */
const HEADROOM_SHARE = 0.12

/**
 * Remaining growth, as a share of the limit, below which the projection is stored again.
 */
const LOW_HEADROOM_SHARE = 0.06

/**
 * Unused growth, as a share of the limit, above which the projection is lowered, at the
 * earliest `UNUSED_GROWTH_MS` after the last write.
 */
const UNUSED_GROWTH_SHARE = 0.5
const UNUSED_GROWTH_MS = 5_000

/**
 * Room, as a share of the limit, below which boxes get less than they want in reserve.
 */
const SCARCE_SHARE = 0.3

/**
 * What expired of earlier leaders' usage, as a share of the limit, from which on the
 * projection is lowered, at the earliest one step after the last write. The next leader
 * counts a projection from its own begin.
 */
const EXPIRED_SHARE = 0.06

/** Interval of writes that lower the projection once all claimed boxes are accounted for. */
const LOWER_INTERVAL_MS = 250

/**
 * With more claimed boxes than this, the most of a box is not told from the total: one
 * projection for each box and organisation would cost the leader too much.
 */
const MAX_COMPARED_BOXES = 16

/** Boxes that stated no account for which the most of a box is counted instead. */
const MAX_MISSING_BOXES = 8

/** Interval of the check whether the projection has to be stored. */
const CHECK_INTERVAL_MS = 30

/** Expiry of a request that waits for the store. The box has sent it again by then. */
const PENDING_EXPIRY_MS = 250

/** Accounts that a new leader logs. */
const MAX_LOGGED_ACCOUNTS = 16

/** Usage of an organisation that counts from earlier leaders' time, in the limit's unit. */
interface TakenOverUsage {
  readonly organisation: string
  readonly counted: number
  readonly limit: number
  /** Boxes that have not stated their accounts. */
  readonly awaited: number
  /** For how long all limits count as reached (ms). */
  readonly unknownMs: number
}

interface PendingRequest {
  readonly box: string
  readonly ask: number
  readonly entry: AllowanceRequest
  readonly at: number
}

/**
 * Answer to one entry of a request. Undefined if the projection has to be stored first.
 */
type Decision = AllowanceGrant | undefined

export type LedgerEffect =
  | {readonly type: "read-usage"}
  | {
      readonly type: "save-usage"
      /** Identifies the result of the write. */
      readonly save: number
      readonly outlooks: UsageProjections
      readonly claims: UsageClaims
    }
  | {
      readonly type: "allow"
      readonly box: string
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }

/** Returns the usage allowed in any window, by organisation with a limit. */
export type UsageLimits = () => ReadonlyMap<string, number>

/** Returns the paces of limits, by organisation. Without one, only the window binds. */
export type UsagePaces = () => ReadonlyMap<string, UsagePace>

/** What an organisation's token bucket leaves. */
interface PacedRoom {
  readonly room: number
  /** Time until the request fits (ms). */
  readonly inMs: number
  /** Room as a part of the capacity. */
  readonly left: number
}

const NO_PACES: ReadonlyMap<string, UsagePace> = new Map()

export class UsageLedger {
  private readonly buckets_ = new Map<string, UsageBucket>()
  private readonly accounts_ = new Map<string, UsageAccount>()
  /** Until then usage of earlier leaders may count. */
  private takenOverUntil_ = -Infinity
  /** All limits count as used up until then. */
  private exhaustedUntil_ = -Infinity
  private phase_: "new" | "reading" | "known" = "new"
  private closed_ = false
  private lastSave_ = 0
  private saving_: {outlooks: UsageProjections; claims: UsageClaims} | undefined
  /** Boxes that stated their accounts before the claims were read. */
  private readonly statedBefore_ = new Set<string>()
  /** Boxes that sent messages since they are connected. */
  private readonly connected_ = new Set<string>()
  /** Claimed boxes that did not state their accounts. Undefined if nothing was claimed. */
  private awaited_: Set<string> | undefined
  /** The box of the last leader, until it has stated its account. */
  private lastLeader_: string | undefined
  /** Boxes that the store is certain to hold as claimed. */
  private storedBoxes_: ReadonlySet<string> = new Set()
  /** Whether the stored projection may be lowered, as boxes stated their accounts. */
  private mayLower_ = false
  private savedAt_ = -Infinity
  private checkedAt_ = -Infinity
  private pending_: PendingRequest[] = []
  private readonly steps_: number

  constructor(
    private readonly options_: UsageOptions,
    private readonly limits_: UsageLimits,
    private readonly emit_: (effect: LedgerEffect) => void,
    /** The box of this leader. */
    private readonly ownBox_?: string,
    private readonly paces_: UsagePaces = () => NO_PACES
  ) {
    this.steps_ =
      Math.ceil(
        (ALLOWANCE_LIFETIME_MS + usageLifetimeMs(options_)) / PROJECTION_STEP_MS
      ) + 1
  }

  /** Starts to read the projection of earlier leaders, unless that was started before. */
  startReading(): void {
    if (this.phase_ !== "new") return
    this.phase_ = "reading"
    this.emit_({type: "read-usage"})
  }

  /**
   * Counts what earlier leaders may have granted, as their projection says. If `outlooks`
   * is undefined, the stored projection is from an older backup, and all limits may be
   * used up. `endedForMs` is how long no earlier leader can have granted anything: what it
   * granted counts from then on.
   */
  handleStored(
    outlooks: UsageProjections | undefined,
    now: number,
    claims?: UsageClaims,
    endedForMs = 0
  ): void {
    if (this.phase_ === "known") return
    this.phase_ = "known"
    if (outlooks) this.addStored(outlooks, now - endedForMs, claims)
    else
      this.exhaustedUntil_ =
        now - endedForMs + ALLOWANCE_LIFETIME_MS + usageLifetimeMs(this.options_)
    this.save(now)
  }

  /**
   * Handles a restore of the store from an older backup: the projection that it holds may
   * not be this leader's.
   */
  invalidateStored(): void {
    for (const account of this.accounts_.values()) {
      Object.assign(account, {
        stored: [],
        storedUnclaimed: [],
        storedOwn: [],
        storedMost: []
      })
    }
    this.storedBoxes_ = new Set()
    this.saving_ = undefined
  }

  private addStored(
    outlooks: UsageProjections,
    now: number,
    claims: UsageClaims | undefined
  ): void {
    this.takenOverUntil_ = now + this.steps_ * PROJECTION_STEP_MS
    for (const [organisation, projection] of Object.entries(outlooks)) {
      addProjection(this.accountOf(organisation).earlier, projection, now)
    }
    if (!claims) return
    const {boxes, most, unclaimed, leader} = claims
    for (const [organisation, projection] of Object.entries(most)) {
      addProjection(this.accountOf(organisation).most, projection, now)
    }
    for (const [organisation, projection] of Object.entries(unclaimed)) {
      addProjection(this.accountOf(organisation).unclaimed, projection, now)
    }
    for (const [organisation, projection] of Object.entries(leader.usage)) {
      addProjection(this.accountOf(organisation).lastLeader, projection, now)
    }
    const claimed = new Set([...boxes, leader.box])
    for (const account of this.accounts_.values()) dropUnclaimed(account, claimed)
    this.awaited_ = new Set(boxes)
    this.lastLeader_ = leader.box
    for (const box of this.statedBefore_) this.recordStated(box)
  }

  /** Stores the projection if that is due, also while requests wait for it. */
  tick(now: number): void {
    this.saveIfDue(now)
  }

  /** Ends granting and stores a projection without growth, for the next leader. */
  close(now: number): void {
    if (this.phase_ !== "known") return
    this.closed_ = true
    this.pending_ = []
    this.save(now)
  }

  /** Handles a message of a box: its usage and its allowance requests. */
  handleUsage(
    box: string,
    ask: number,
    entries: readonly AllowanceRequest[],
    now: number
  ): void {
    this.startReading()
    this.connected_.add(box)
    this.applyStatements(box, entries, now)
    for (const entry of entries) this.recordUsage(box, entry, now)
    this.answerRequests(
      entries.filter(({want}) => want > 0).map(entry => ({box, ask, entry, at: now})),
      now
    )
    this.saveIfDue(now)
  }

  /**
   * Handles the result of a write. If `ok` is false, the write may or may not have
   * happened.
   */
  handleSaved(save: number, ok: boolean, now: number): void {
    if (save !== this.lastSave_) return
    const saved = this.saving_
    this.saving_ = undefined
    if (!saved) return
    if (ok) {
      this.savedAt_ = now
      const {outlooks, claims} = saved
      for (const [organisation, projection] of Object.entries(outlooks)) {
        const account = this.accountOf(organisation)
        account.stored = projection
        account.storedUnclaimed = claims.unclaimed[organisation] ?? []
        account.storedOwn = claims.leader.usage[organisation] ?? []
        account.storedMost = claims.most[organisation] ?? []
      }
      this.storedBoxes_ = new Set(claims.boxes)
    }
    const waiting = this.pending_.filter(({at}) => now - at < PENDING_EXPIRY_MS)
    this.pending_ = []
    if (ok) this.answerRequests(waiting, now)
    else this.pending_ = waiting
    this.saveIfDue(now)
  }

  /**
   * Removes a box that ended or is disconnected. Its allowances count until they expire.
   */
  forgetBox(box: string): void {
    this.connected_.delete(box)
    for (const account of this.accounts_.values()) {
      const usage = account.boxes.get(box)
      if (!usage) continue
      account.goneGranted.addAll(usage.granted)
      account.goneStated.addAll(usage.stated)
      account.boxes.delete(box)
    }
    this.statedBefore_.delete(box)
    // The next leader would wait for the account of this box.
    if (this.storedBoxes_.has(box)) this.mayLower_ = true
    this.pending_ = this.pending_.filter(each => each.box !== box)
  }

  /** Returns the usage that counts for an organisation. */
  totalOf(organisation: string, now: number): number {
    const account = this.accounts_.get(organisation)
    return account ? this.total(account, now) : 0
  }

  /** Lists what counts as used of each limit, the most used ones first, for the log. */
  listTakenOver(now: number): readonly TakenOverUsage[] {
    const awaited = this.awaited_?.size ?? 0
    const unknownMs = Math.round(Math.max(0, this.exhaustedUntil_ - now))
    return [...this.limits_()]
      .map(([organisation, limit]) => {
        const counted = Math.round(this.totalOf(organisation, now))
        return {organisation, counted, limit: Math.round(limit), awaited, unknownMs}
      })
      .filter(({counted}) => counted > 0 || unknownMs > 0)
      .sort((a, b) => b.counted / b.limit - a.counted / a.limit)
      .slice(0, MAX_LOGGED_ACCOUNTS)
  }

  private accountOf(organisation: string): UsageAccount {
    const known = this.accounts_.get(organisation)
    if (known) return known
    const account = createAccount()
    this.accounts_.set(organisation, account)
    return account
  }

  /** Whether all boxes that the last leader claimed have stated their accounts. */
  private get isAccounted(): boolean {
    return this.awaited_?.size === 0
  }

  /** Whether accounts of boxes give a lower total than the projection does. */
  private countsAccounts(account: UsageAccount, now: number): boolean {
    if (!this.awaited_ || this.awaited_.size > MAX_MISSING_BOXES) return false
    const parts = [account.stated, ...this.earlierPartsOf(account)]
    return sumTotals(parts, now) < account.earlier.total(now)
  }

  /** Usage of earlier leaders' time without the accounts that boxes stated. */
  private earlierPartsOf({unclaimed, lastLeader, most}: UsageAccount): CountedUsage[] {
    const missing = new Array<CountedUsage>(this.awaited_?.size ?? 0).fill(most)
    return [unclaimed, lastLeader, ...missing]
  }

  /** The counts that make up the usage of all boxes. */
  private partsOf(account: UsageAccount, now: number): CountedUsage[] {
    const {granted, stated, earlier} = account
    return this.countsAccounts(account, now)
      ? [granted, stated, ...this.earlierPartsOf(account)]
      : [granted, earlier]
  }

  /** The same without the boxes in `claimed` and the leader's own. */
  private unclaimedPartsOf(
    account: UsageAccount,
    claimed: ReadonlySet<string>,
    now: number
  ): CountedUsage[] {
    const {boxes, goneGranted, goneStated, earlier} = account
    const others = [...boxes].filter(([box]) => !claimed.has(box) && box !== this.ownBox_)
    const parts = others.flatMap(([box]) => this.partsOfBox(account, box))
    return this.countsAccounts(account, now)
      ? [...this.earlierPartsOf(account), goneGranted, goneStated, ...parts]
      : [earlier, goneGranted, ...parts]
  }

  /**
   * The counts of one box. What it stated is always among them: the projections of single
   * boxes must hold whichever way the total is counted later.
   */
  private partsOfBox(account: UsageAccount, box: string): CountedUsage[] {
    const usage = account.boxes.get(box)
    return usage ? [usage.granted, usage.stated] : []
  }

  private total(account: UsageAccount, now: number): number {
    return sumTotals(this.partsOf(account, now), now)
  }

  /** Applies the account that a box states in its first message. */
  private applyStatements(
    box: string,
    entries: readonly AllowanceRequest[],
    now: number
  ): void {
    if (!entries.some(({account}) => account !== undefined)) return
    const counts =
      this.phase_ !== "known" ||
      box === this.lastLeader_ ||
      this.awaited_?.has(box) === true
    for (const {organisation, account} of entries) {
      if (account) this.applyStatement(box, organisation, account, counts, now)
    }
    if (this.phase_ === "known") this.recordStated(box)
    else this.statedBefore_.add(box)
  }

  private recordStated(box: string): void {
    this.awaited_?.delete(box)
    if (box === this.lastLeader_) {
      this.lastLeader_ = undefined
      for (const {lastLeader} of this.accounts_.values()) lastLeader.clear()
    }
    this.mayLower_ ||= this.isAccounted
  }

  /**
   * If the statement does not count, the box was not claimed or has stated its account
   * before, so that other counts contain its usage.
   */
  private applyStatement(
    box: string,
    organisation: string,
    {used, held}: AccountStatement,
    counts: boolean,
    now: number
  ): void {
    const account = this.accountOf(organisation)
    const usage = usageOf(account, box)
    const countedIn = counts ? [usage.stated, account.stated] : []
    const span = usageLifetimeMs(this.options_)
    usage.held = held.map(({amount, forMs}) => ({amount, until: now + forMs, countedIn}))
    for (const count of countedIn) {
      addTimed(count, used, now)
      addTimed(count, held, now + span)
    }
  }

  /**
   * Records what a box used and returned. Usage counts from its report on; returned
   * allowances stop counting.
   */
  private recordUsage(box: string, entry: AllowanceRequest, now: number): void {
    const {organisation, used, returned, account: statement} = entry
    if (statement) return
    const pace = this.paces_().get(organisation)
    if (pace) this.buckets_.get(organisation)?.putBack(returned, pace, now)
    const account = this.accountOf(organisation)
    const usage = usageOf(account, box)
    const span = usageLifetimeMs(this.options_)
    usage.held = usage.held.filter(({until}) => until + span > now)
    // Returned allowances have expired, so they are taken from the oldest portions and
    // not from the usage in the same message.
    for (const {amount, until, countedIn} of takeOldest(usage.held, returned)) {
      for (const count of countedIn) count.remove(amount, until + span)
    }
    let unrecorded = used
    for (const {amount, until, countedIn} of takeOldest(usage.held, used)) {
      for (const count of countedIn) {
        count.remove(amount, until + span)
        count.add(amount, Math.min(now, until) + span)
      }
      unrecorded -= amount
    }
    // The ledger has no record of allowances for the rest.
    if (unrecorded <= 0) return
    for (const count of [usage.granted, account.granted])
      count.add(unrecorded, now + span)
  }

  private answerRequests(requests: readonly PendingRequest[], now: number): void {
    const grants = new Map<string, {request: PendingRequest; grants: AllowanceGrant[]}>()
    for (const request of requests) {
      const decision = this.decide(request, now)
      if (!decision) {
        this.pending_.push(request)
        continue
      }
      if (decision.amount > 0) this.grant(request.box, decision, now)
      const key = `${request.box} ${request.ask}`
      const answer = grants.get(key) ?? {request, grants: []}
      answer.grants.push(decision)
      grants.set(key, answer)
    }
    for (const {request, grants: given} of grants.values()) {
      this.emit_({type: "allow", box: request.box, ask: request.ask, grants: given})
    }
  }

  private decide({box, entry}: PendingRequest, now: number): Decision {
    const {organisation, need, want} = entry
    const limit = this.limits_().get(organisation)
    if (limit === undefined) return {organisation, amount: 0}
    if (this.phase_ !== "known" || this.closed_) return undefined
    if (now < this.exhaustedUntil_) {
      const roomInMs = Math.round(this.exhaustedUntil_ - now)
      return {organisation, amount: 0, roomInMs, isUnknown: true}
    }
    const account = this.accountOf(organisation)
    const windowRoom = Math.max(0, limit - this.total(account, now))
    const paced = this.pacedRoomFor(entry, windowRoom, now)
    const room = Math.min(windowRoom, paced.room)
    const storedRoom = this.storedRoomFor(box, account, now)
    if (Math.min(need, room) > storedRoom) return undefined
    if (need > room) {
      const windowMs =
        need > windowRoom ? this.msUntilAtMost(account, limit - need, now) : 0
      const roomInMs = Math.round(Math.max(windowMs, paced.inMs))
      const known = account.granted.total(now) + account.stated.total(now)
      // A bucket has no doubt: what it refuses is beyond the limit's rate.
      const isInDoubt = !this.isAccounted && need > windowRoom
      const isUnknown = isInDoubt && known + need <= limit
      const grant = {organisation, amount: Math.floor(room), roomInMs}
      return isUnknown ? {...grant, isUnknown} : grant
    }
    const left = Math.min(windowRoom / limit, paced.left)
    const extra = Math.min(1, left / SCARCE_SHARE) * (want - need)
    const more = Math.max(0, Math.min(extra, room - need, storedRoom - need))
    return {organisation, amount: need + Math.floor(more)}
  }

  private pacedRoomFor(
    {organisation, need}: AllowanceRequest,
    windowRoom: number,
    now: number
  ): PacedRoom {
    const pace = this.paces_().get(organisation)
    if (!pace) return {room: Infinity, inMs: 0, left: 1}
    const bucket = this.bucketOf(organisation, pace, windowRoom, now)
    const room = bucket.room(need, pace, now)
    return {room, inMs: bucket.msUntil(need, pace, now), left: room / pace.capacity}
  }

  /** A new bucket holds what the usage of earlier leaders leaves in the window. */
  private bucketOf(
    organisation: string,
    {capacity}: UsagePace,
    windowRoom: number,
    now: number
  ): UsageBucket {
    const known = this.buckets_.get(organisation)
    if (known) return known
    const bucket = new UsageBucket(Math.min(capacity, windowRoom), now)
    this.buckets_.set(organisation, bucket)
    return bucket
  }

  private grant(box: string, {organisation, amount}: AllowanceGrant, now: number): void {
    const pace = this.paces_().get(organisation)
    if (pace) this.buckets_.get(organisation)?.take(amount, pace, now)
    const account = this.accountOf(organisation)
    const usage = usageOf(account, box)
    const until = now + ALLOWANCE_LIFETIME_MS
    const countedIn = [usage.granted, account.granted]
    usage.held.push({amount, until, countedIn})
    for (const count of countedIn) {
      count.add(amount, until + usageLifetimeMs(this.options_))
    }
  }

  private msUntilAtMost(account: UsageAccount, most: number, now: number): number {
    const sum = new CountedUsage()
    for (const part of this.partsOf(account, now)) sum.addAll(part)
    return sum.msUntilAtMost(most, now)
  }

  /** Returns how much the box can be granted before the projection is stored again. */
  private storedRoomFor(box: string, account: UsageAccount, now: number): number {
    const room = this.storedRoom(account, now)
    if (box === this.ownBox_) return Math.min(room, this.storedOwnRoom(account, now))
    if (this.storedBoxes_.has(box)) {
      return Math.min(
        room,
        roomIn(account.storedMost, this.projectBox(account, box, now))
      )
    }
    const projection = this.project(
      this.unclaimedPartsOf(account, this.storedBoxes_, now),
      now
    )
    return Math.min(room, roomIn(account.storedUnclaimed, projection))
  }

  private storedRoom(account: UsageAccount, now: number): number {
    return roomIn(account.stored, this.project(this.partsOf(account, now), now))
  }

  private storedOwnRoom(account: UsageAccount, now: number): number {
    return roomIn(account.storedOwn, this.projectBox(account, this.ownBox_ ?? "", now))
  }

  private projectBox(account: UsageAccount, box: string, now: number): number[] {
    return this.project(this.partsOfBox(account, box), now)
  }

  private project(parts: readonly CountedUsage[], now: number): number[] {
    return projectSum(parts, now, this.steps_)
  }

  /** Returns the projection to store of some counts, with room for growth. */
  private projectionToStore(
    parts: readonly CountedUsage[],
    limit: number,
    growth: number,
    now: number
  ): number[] {
    return this.project(parts, now).map((amount, step) => {
      const isFull = now + step * PROJECTION_STEP_MS < this.exhaustedUntil_
      const counted = isFull ? Math.max(amount, limit) : amount
      return Math.ceil(Math.max(counted, Math.min(limit, counted + growth)))
    })
  }

  /**
   * Returns what waiting requests of some boxes need. What they want in stock has to fit in
   * the growth: a leader that ends soon would leave the next one a projection for the stocks
   * of all boxes.
   */
  private sumPending(includes: (box: string) => boolean): Map<string, number> {
    const sums = new Map<string, number>()
    for (const {box, entry} of this.pending_) {
      if (!includes(box)) continue
      const {organisation, need} = entry
      sums.set(organisation, (sums.get(organisation) ?? 0) + need)
    }
    return sums
  }

  /** Stores the projection if little growth is left in it, or if much of it is unused. */
  private saveIfDue(now: number): void {
    if (this.saving_ || this.closed_ || this.phase_ !== "known") return
    if (now - this.checkedAt_ < CHECK_INTERVAL_MS) return
    this.checkedAt_ = now
    if (this.pending_.length > 0) return this.save(now)
    const sinceSave = now - this.savedAt_
    if (this.mayLower_ && sinceSave >= LOWER_INTERVAL_MS) return this.save(now)
    // The next leader counts the time for which limits are unknown from its own begin.
    const wasExhausted = this.savedAt_ < this.exhaustedUntil_
    if (wasExhausted && sinceSave >= PROJECTION_STEP_MS) return this.save(now)
    const releasesUnused = sinceSave > UNUSED_GROWTH_MS
    const releasesExpired = now < this.takenOverUntil_ && sinceSave >= PROJECTION_STEP_MS
    const due = [...this.limits_()].some(([organisation, limit]) => {
      const account = this.accountOf(organisation)
      const total = this.total(account, now)
      const stored = account.stored[0] ?? 0
      if (releasesUnused && stored - total > UNUSED_GROWTH_SHARE * limit) return true
      const needed = Math.min(limit, total + HEADROOM_SHARE * limit)
      if (releasesExpired && stored - needed > EXPIRED_SHARE * limit) return true
      const growth = Math.min(LOW_HEADROOM_SHARE * limit, limit - total)
      if (this.storedRoom(account, now) < growth) return true
      const isOwnUsed = account.boxes.has(this.ownBox_ ?? "")
      return isOwnUsed && this.storedOwnRoom(account, now) < growth * this.ownShare
    })
    if (due) this.save(now)
  }

  /** Part of the growth that the box of this leader may use. */
  private get ownShare(): number {
    return 1 / Math.max(1, this.connected_.size)
  }

  private save(now: number): void {
    const boxes = [...this.connected_].filter(box => box !== this.ownBox_)
    const claimed = new Set(boxes)
    const pending = this.sumPending(() => true)
    const unclaimedPending = this.sumPending(box => !this.storedBoxes_.has(box))
    const ownPending = this.sumPending(box => box === this.ownBox_)
    const outlooks: Record<string, readonly number[]> = {}
    const unclaimed: Record<string, readonly number[]> = {}
    const own: Record<string, readonly number[]> = {}
    const most: Record<string, readonly number[]> = {}
    for (const [organisation, limit] of this.limits_()) {
      const account = this.accountOf(organisation)
      const headroom = this.closed_ ? 0 : HEADROOM_SHARE * limit
      const growth = headroom + (pending.get(organisation) ?? 0)
      const project = (parts: readonly CountedUsage[], by: number): number[] =>
        this.projectionToStore(parts, limit, by, now)
      const next = project(this.partsOf(account, now), growth)
      const nextUnclaimed = project(
        this.unclaimedPartsOf(account, claimed, now),
        claimed.size === 0 ? headroom + (unclaimedPending.get(organisation) ?? 0) : 0
      )
      const nextOwn = project(
        this.partsOfBox(account, this.ownBox_ ?? ""),
        headroom * this.ownShare + (ownPending.get(organisation) ?? 0)
      )
      const ofBoxes =
        boxes.length > MAX_COMPARED_BOXES
          ? [next]
          : boxes.map(box => project(this.partsOfBox(account, box), growth))
      const nextMost = ofBoxes.reduce(higherOf, project([], growth))
      outlooks[organisation] = next
      unclaimed[organisation] = nextUnclaimed
      own[organisation] = nextOwn
      most[organisation] = nextMost
      // Until the result of the write is known, the lower of both projections binds.
      account.stored = lowerOf(next, account.stored)
      account.storedUnclaimed = lowerOf(nextUnclaimed, account.storedUnclaimed)
      account.storedOwn = lowerOf(nextOwn, account.storedOwn)
      account.storedMost = lowerOf(nextMost, account.storedMost)
    }
    this.storedBoxes_ = new Set(boxes.filter(box => this.storedBoxes_.has(box)))
    const leader = {box: this.ownBox_ ?? "", usage: own}
    const claims = {boxes, leader, most, unclaimed}
    this.saving_ = {outlooks, claims}
    this.mayLower_ = false
    this.emit_({type: "save-usage", save: ++this.lastSave_, outlooks, claims})
  }
}
