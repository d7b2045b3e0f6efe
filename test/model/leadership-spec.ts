/**
 * Specification of leadership over engines that check no fencing tokens: two boxes, one
 * lease, orders with a delay of up to one unit of time. No engine may receive orders of
 * two boxes within GAP. The store may be restored from an older backup, which lacks the
 * lease and assigns lease numbers again. Shares no code with the core. The unit of time
 * is the lease's margin.
 */

export interface Guards {
  /** A new leader waits for the minimum time between orders of two leaders. */
  readonly waitGap: boolean
  /** It also waits for an order that the former leader may have sent in its last turn. */
  readonly waitMargin: boolean
  /** A lease counts from when its request was sent, not from the answer. */
  readonly leaseFromSend: boolean
  /** Lease and wait are checked in the turn in which an order is sent. */
  readonly checkAtSend: boolean
  /** A box skips the wait only if it could send orders in its last leadership. */
  readonly ownOnlyIfItCouldOrder: boolean
  /** Nor may it skip the wait after a restore: another box may have led since. */
  readonly ownOnlyInEra: boolean
  /** A new era's leader waits until earlier leases expired by their holders' clocks. */
  readonly waitEra: boolean
  /** A lease of the previous era is not renewed, even if its number is in use. */
  readonly leaseOfEra: boolean
}

export const ALL_GUARDS: Guards = {
  waitGap: true,
  waitMargin: true,
  leaseFromSend: true,
  checkAtSend: true,
  ownOnlyIfItCouldOrder: true,
  ownOnlyInEra: true,
  waitEra: true,
  leaseOfEra: true
}

const TTL = 3
const GAP = 2
const ORDER_DELAY = 1
const HANDOVER_WAIT = GAP + ORDER_DELAY

/** One turn after the first order that a leader of the new era may send. */
const EXPLORED_AGE = TTL + HANDOVER_WAIT + 1

interface Box {
  /** Remaining time of its lease by its own clock. 0 if it does not lead. */
  readonly lease: number
  /** Time until its first order. */
  readonly wait: number
  /** Time since it sent a renewal that is not answered yet. -1 if there is none. */
  readonly renewalAge: number
  /** Whether the store has executed that renewal. */
  readonly isRenewalTaken: boolean
  /** Whether it has decided on an order. It may be paused before it sends it. */
  readonly hasDecided: boolean
  /** Time since its order was sent. -1 if none is under way. */
  readonly orderAge: number
  /** Time since its own last leadership ended, up to the wait of a new leader. */
  readonly sinceLeadership: number
  /** Whether its lease is of the previous era. */
  readonly isLeaseStale: boolean
}

export interface State {
  readonly boxes: readonly [Box, Box]
  /** Index of the box that holds the lease in the store. -1 if none does. */
  readonly holder: number
  /** Remaining time of the lease in the store. */
  readonly leaseLeft: number
  /** Index of the box whose order the engine received last. -1 if there was none. */
  readonly lastSender: number
  /** Time since that order, up to GAP. */
  readonly lastOrderAge: number
  /** Time since the store was restored, up to EXPLORED_AGE. */
  readonly eraAge: number
  readonly violated: boolean
}

const IDLE: Box = {
  lease: 0,
  wait: 0,
  renewalAge: -1,
  isRenewalTaken: false,
  hasDecided: false,
  orderAge: -1,
  sinceLeadership: HANDOVER_WAIT,
  isLeaseStale: false
}

export const INITIAL: State = {
  boxes: [IDLE, IDLE],
  holder: -1,
  leaseLeft: 0,
  lastSender: -1,
  lastOrderAge: GAP,
  eraAge: EXPLORED_AGE,
  violated: false
}

/** The store has just been restored from an older backup without a lease. */
const RESTORED: State = {...INITIAL, eraAge: 0}

/** Situations of the boxes when the store is restored. */
export const RESTORES: Readonly<Record<"ordering" | "renewing" | "claimed", State>> = {
  /** A leader's order is under way, and the other box never led. */
  ordering: {
    ...RESTORED,
    boxes: [{...IDLE, lease: TTL, isLeaseStale: true, orderAge: 0}, IDLE]
  },
  /** A leader's renewal is under way. */
  renewing: {
    ...RESTORED,
    boxes: [{...IDLE, lease: TTL - 1, isLeaseStale: true, renewalAge: 1}, IDLE]
  },
  /** A box has just led. The other one has claimed the lease since and waits. */
  claimed: {
    ...RESTORED,
    boxes: [
      {...IDLE, sinceLeadership: HANDOVER_WAIT - 1},
      {...IDLE, lease: TTL, wait: 1, isLeaseStale: true}
    ]
  }
}

/** Whether leaders of the new era have sent orders, which ends the exploration. */
export function isExplorationOver({eraAge}: State): boolean {
  return eraAge >= EXPLORED_AGE
}

export interface Action {
  readonly type: string
  readonly box: 0 | 1
}

const ACTION_TYPES = [
  "claim",
  "confirm",
  "release",
  "sendRenewal",
  "takeRenewal",
  "answerRenewal",
  "decide",
  "send",
  "arrive"
] as const

export const ACTIONS: readonly Action[] = [
  {type: "tick", box: 0},
  ...ACTION_TYPES.flatMap(type => ([0, 1] as const).map(box => ({type, box})))
]

/** Returns the next state, or the same one if the action is not enabled. */
export function next(state: State, {type, box}: Action, guards: Guards): State {
  const self = state.boxes[box]
  const updateBox = (change: Partial<Box>, rest: Partial<State> = {}): State => {
    const boxes: [Box, Box] = [...state.boxes]
    boxes[box] = {...self, ...change}
    return {...state, boxes, ...rest}
  }
  switch (type) {
    case "tick":
      return advanceTime(state, guards)
    case "claim": {
      if (state.holder !== -1 || self.lease > 0) return state
      const handoverWait =
        (guards.waitGap ? GAP : 0) + (guards.waitMargin ? ORDER_DELAY : 0)
      const eraWait = guards.waitEra ? Math.max(0, TTL - state.eraAge) : 0
      // A box need not wait for itself: another leader would have waited as long.
      const sameEra = self.sinceLeadership < state.eraAge || !guards.ownOnlyInEra
      const skipsWait = self.sinceLeadership < HANDOVER_WAIT && sameEra
      const wait = skipsWait ? 0 : handoverWait + eraWait
      return updateBox(
        {lease: TTL, wait, isLeaseStale: false},
        {holder: box, leaseLeft: TTL}
      )
    }
    // By its own clock it still leads, so no other box led in the previous era.
    case "confirm":
      if (!self.isLeaseStale || self.lease === 0) return state
      if (state.holder !== -1) return updateBox(endLeadership(self, guards))
      return updateBox({lease: TTL, isLeaseStale: false}, {holder: box, leaseLeft: TTL})
    case "release":
      if (state.holder !== box || self.lease === 0) return state
      return updateBox(endLeadership(self, guards), {holder: -1, leaseLeft: 0})
    case "sendRenewal":
      if (self.lease === 0 || self.renewalAge >= 0) return state
      return updateBox({renewalAge: 0, isRenewalTaken: false})
    case "takeRenewal":
      if (self.renewalAge < 0 || self.isRenewalTaken) return state
      // In a new era the lease of another box may have the same number.
      if (
        self.isLeaseStale
          ? guards.leaseOfEra || state.holder === -1
          : state.holder !== box
      ) {
        return state
      }
      return updateBox({isRenewalTaken: true}, {leaseLeft: TTL})
    case "answerRenewal": {
      if (!self.isRenewalTaken) return state
      const lease = guards.leaseFromSend ? TTL - self.renewalAge : TTL
      const isLeader = self.lease > 0
      return updateBox({
        renewalAge: -1,
        isRenewalTaken: false,
        lease: isLeader ? Math.max(self.lease, lease) : 0
      })
    }
    case "decide":
      if (self.lease === 0 || self.wait > 0 || self.orderAge >= 0) return state
      return updateBox({hasDecided: true})
    case "send":
      if (!self.hasDecided || self.orderAge >= 0) return state
      if (guards.checkAtSend && (self.lease === 0 || self.wait > 0)) {
        return updateBox({hasDecided: false})
      }
      return updateBox({hasDecided: false, orderAge: 0})
    case "arrive": {
      if (self.orderAge < 0) return state
      const isTooEarly =
        state.lastSender !== -1 && state.lastSender !== box && state.lastOrderAge < GAP
      return updateBox(
        {orderAge: -1},
        {lastSender: box, lastOrderAge: 0, violated: state.violated || isTooEarly}
      )
    }
    default:
      return state
  }
}

function endLeadership(box: Box, {ownOnlyIfItCouldOrder}: Guards): Box {
  const couldOrder = box.wait === 0 || !ownOnlyIfItCouldOrder
  const sinceLeadership = couldOrder ? 0 : box.sinceLeadership
  return {
    ...box,
    lease: 0,
    renewalAge: -1,
    isRenewalTaken: false,
    sinceLeadership,
    isLeaseStale: false
  }
}

/** Advances time by one unit. Not enabled if an order would exceed its delay. */
function advanceTime(state: State, guards: Guards): State {
  if (state.boxes.some(({orderAge}) => orderAge >= ORDER_DELAY)) return state
  const boxes = state.boxes.map(box => ({
    ...(box.lease === 1 ? endLeadership(box, guards) : box),
    lease: Math.max(0, box.lease - 1),
    wait: Math.max(0, box.wait - 1),
    sinceLeadership: Math.min(
      HANDOVER_WAIT,
      (box.lease === 1 ? endLeadership(box, guards) : box).sinceLeadership + 1
    ),
    renewalAge:
      box.renewalAge < 0 || box.lease <= 1 ? -1 : Math.min(TTL, box.renewalAge + 1),
    isRenewalTaken: box.isRenewalTaken && box.lease > 1,
    orderAge: box.orderAge < 0 ? -1 : box.orderAge + 1
  })) as [Box, Box]
  const leaseLeft = Math.max(0, state.leaseLeft - 1)
  return {
    ...state,
    boxes,
    leaseLeft,
    holder: leaseLeft === 0 ? -1 : state.holder,
    lastOrderAge: Math.min(GAP, state.lastOrderAge + 1),
    eraAge: Math.min(EXPLORED_AGE, state.eraAge + 1)
  }
}
