/**
 * The leader's count of organisations' usage: allowances that boxes hold, and what they
 * used.
 *
 * The count is lost with the leader. It is therefore bounded by a usage projection stored
 * in the key-value service: an upper bound of the usage that still counts, now and at
 * each later step, whenever this leader ends. The next leader counts that as used. An
 * allowance is granted only within the limit and within the stored projection, so that
 * the proof in `usage-limits.ts` holds over any number of leaders.
 */
import type {
  AllowanceRequest,
  AllowanceGrant,
  UsageProjections
} from "../types/usage-messages.js"
import {CountedUsage, PROJECTION_STEP_MS} from "./counted-usage.js"
import {
  ALLOWANCE_LIFETIME_MS,
  usageLifetimeMs,
  type UsageOptions
} from "./usage-limits.js"

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

/** Interval of the check whether the projection has to be stored. */
const CHECK_INTERVAL_MS = 30

/** Expiry of a request that waits for the store. The box has sent it again by then. */
const PENDING_EXPIRY_MS = 250

/** Allowance that a box holds. */
interface HeldAllowance {
  amount: number
  readonly until: number
}

interface Account {
  readonly counted: CountedUsage
  readonly held: Map<string, HeldAllowance[]>
  /** Projection that the store is certain to hold; empty if there is none. */
  stored: readonly number[]
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
    }
  | {
      readonly type: "allow"
      readonly box: string
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }

/** Returns the usage allowed in any window, by organisation with a limit. */
export type UsageLimits = () => ReadonlyMap<string, number>

export class UsageLedger {
  private readonly accounts_ = new Map<string, Account>()
  /** All limits count as used up until then. */
  private exhaustedUntil_ = -Infinity
  private phase_: "new" | "reading" | "known" = "new"
  private closed_ = false
  private lastSave_ = 0
  private saving_: UsageProjections | undefined
  private savedAt_ = -Infinity
  private checkedAt_ = -Infinity
  private pending_: PendingRequest[] = []
  private readonly steps_: number

  constructor(
    private readonly options_: UsageOptions,
    private readonly limits_: UsageLimits,
    private readonly emit_: (effect: LedgerEffect) => void
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
   * used up.
   */
  handleStored(outlooks: UsageProjections | undefined, now: number): void {
    if (this.phase_ === "known") return
    this.phase_ = "known"
    if (outlooks) this.addStored(outlooks, now)
    else
      this.exhaustedUntil_ = now + ALLOWANCE_LIFETIME_MS + usageLifetimeMs(this.options_)
    this.save(now)
  }

  /**
   * Handles a restore of the store from an older backup: the projection that it holds may
   * not be this leader's.
   */
  invalidateStored(): void {
    for (const account of this.accounts_.values()) account.stored = []
    this.saving_ = undefined
  }

  private addStored(outlooks: UsageProjections, now: number): void {
    for (const [organisation, projection] of Object.entries(outlooks)) {
      const {counted} = this.accountOf(organisation)
      projection.forEach((amount, step) => {
        const expiring = amount - (projection[step + 1] ?? 0)
        if (expiring > 0) counted.add(expiring, now + (step + 1) * PROJECTION_STEP_MS)
      })
    }
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
      for (const [organisation, projection] of Object.entries(saved)) {
        this.accountOf(organisation).stored = projection
      }
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
    for (const {held} of this.accounts_.values()) held.delete(box)
    this.pending_ = this.pending_.filter(each => each.box !== box)
  }

  /** Returns the usage that counts for an organisation. */
  totalOf(organisation: string, now: number): number {
    return this.accounts_.get(organisation)?.counted.total(now) ?? 0
  }

  private accountOf(organisation: string): Account {
    const known = this.accounts_.get(organisation)
    if (known) return known
    const account: Account = {counted: new CountedUsage(), held: new Map(), stored: []}
    this.accounts_.set(organisation, account)
    return account
  }

  /**
   * Records what a box used and returned. Usage counts from its report on; returned
   * allowances stop counting.
   */
  private recordUsage(box: string, entry: AllowanceRequest, now: number): void {
    const {organisation, used, returned} = entry
    const {counted, held} = this.accountOf(organisation)
    const span = usageLifetimeMs(this.options_)
    const portions = (held.get(box) ?? []).filter(({until}) => until + span > now)
    held.set(box, portions)
    // Returned allowances have expired, so they are taken from the oldest portions and
    // not from the usage in the same message.
    for (const {amount, until} of takeOldest(portions, returned)) {
      counted.remove(amount, until + span)
    }
    let unrecorded = used
    for (const {amount, until} of takeOldest(portions, used)) {
      counted.remove(amount, until + span)
      counted.add(amount, Math.min(now, until) + span)
      unrecorded -= amount
    }
    // The ledger has no record of allowances for the rest.
    if (unrecorded > 0) counted.add(unrecorded, now + span)
  }

  private answerRequests(requests: readonly PendingRequest[], now: number): void {
    const grants = new Map<string, {request: PendingRequest; grants: AllowanceGrant[]}>()
    for (const request of requests) {
      const decision = this.decide(request.entry, now)
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

  private decide({organisation, need, want}: AllowanceRequest, now: number): Decision {
    const limit = this.limits_().get(organisation)
    if (limit === undefined) return {organisation, amount: 0}
    if (this.phase_ !== "known" || this.closed_) return undefined
    if (now < this.exhaustedUntil_) {
      return {organisation, amount: 0, roomInMs: Math.round(this.exhaustedUntil_ - now)}
    }
    const account = this.accountOf(organisation)
    const room = Math.max(0, limit - account.counted.total(now))
    const storedRoom = this.storedRoom(account, now)
    if (Math.min(need, room) > storedRoom) return undefined
    if (need > room) {
      const roomInMs = Math.round(account.counted.msUntilAtMost(limit - need, now))
      return {organisation, amount: Math.floor(room), roomInMs}
    }
    const extra = Math.min(1, room / (SCARCE_SHARE * limit)) * (want - need)
    const more = Math.max(0, Math.min(extra, room - need, storedRoom - need))
    return {organisation, amount: need + Math.floor(more)}
  }

  private grant(box: string, {organisation, amount}: AllowanceGrant, now: number): void {
    const {counted, held} = this.accountOf(organisation)
    const until = now + ALLOWANCE_LIFETIME_MS
    const portions = held.get(box) ?? []
    portions.push({amount, until})
    held.set(box, portions)
    counted.add(amount, until + usageLifetimeMs(this.options_))
  }

  /** Returns how much can be granted before the projection has to be stored again. */
  private storedRoom({counted, stored}: Account, now: number): number {
    const projection = counted.project(now, this.steps_)
    return Math.min(...projection.map((amount, step) => (stored[step] ?? 0) - amount))
  }

  private projectionOf({counted}: Account, limit: number, now: number): number[] {
    const projection = counted.project(now, this.steps_)
    return projection.map((amount, step) =>
      now + step * PROJECTION_STEP_MS < this.exhaustedUntil_
        ? Math.max(amount, limit)
        : amount
    )
  }

  private sumPending(): Map<string, number> {
    const sums = new Map<string, number>()
    for (const {entry} of this.pending_) {
      const {organisation, want} = entry
      sums.set(organisation, (sums.get(organisation) ?? 0) + want)
    }
    return sums
  }

  /** Stores the projection if little growth is left in it, or if much of it is unused. */
  private saveIfDue(now: number): void {
    if (this.saving_ || this.closed_ || this.phase_ !== "known") return
    if (now - this.checkedAt_ < CHECK_INTERVAL_MS) return
    this.checkedAt_ = now
    if (this.pending_.length > 0) return this.save(now)
    const releasesUnused = now - this.savedAt_ > UNUSED_GROWTH_MS
    const due = [...this.limits_()].some(([organisation, limit]) => {
      const account = this.accountOf(organisation)
      const total = account.counted.total(now)
      const stored = account.stored[0] ?? 0
      if (releasesUnused && stored - total > UNUSED_GROWTH_SHARE * limit) return true
      const growth = Math.min(LOW_HEADROOM_SHARE * limit, limit - total)
      return this.storedRoom(account, now) < growth
    })
    if (due) this.save(now)
  }

  private save(now: number): void {
    const outlooks: Record<string, readonly number[]> = {}
    const pending = this.sumPending()
    for (const [organisation, limit] of this.limits_()) {
      const account = this.accountOf(organisation)
      const projection = this.projectionOf(account, limit, now)
      const headroom = this.closed_ ? 0 : HEADROOM_SHARE * limit
      const growth = headroom + (pending.get(organisation) ?? 0)
      const next = projection.map(amount =>
        Math.ceil(Math.max(amount, Math.min(limit, amount + growth)))
      )
      outlooks[organisation] = next
      // Until the result of the write is known, the lower of both projections binds.
      const {stored} = account
      account.stored = next.map((amount, step) => Math.min(amount, stored[step] ?? 0))
    }
    this.saving_ = outlooks
    this.emit_({type: "save-usage", save: ++this.lastSave_, outlooks})
  }
}

/** Removes an amount from the oldest portions, and returns what was removed of each. */
function takeOldest(portions: HeldAllowance[], amount: number): HeldAllowance[] {
  const taken: HeldAllowance[] = []
  let left = amount
  while (left > 0 && portions.length > 0) {
    const [first] = portions as [HeldAllowance]
    const part = Math.min(left, first.amount)
    taken.push({amount: part, until: first.until})
    first.amount -= part
    left -= part
    if (first.amount <= 0) portions.shift()
  }
  return taken
}
