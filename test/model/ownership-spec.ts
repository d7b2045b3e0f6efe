/**
 * Specification of ownership and pins, small enough for an exhaustive exploration: one
 * engine with one adapter, two keepers, one entry. Shares no code with the core.
 *
 * Time is abstract. A keeper's own view of its lease ends before the service's
 * (`margin`), and a takeover waits until an order under way has arrived (`takeoverWait`),
 * as the settings require. A process may take its next step at any later time, so a pause
 * is the absence of steps.
 */

/** Assumptions of the protocol. A test removes each and expects a counterexample. */
export interface Guards {
  /** An unload is sent only while the own lease is valid. */
  readonly leaseCheck: boolean
  /** The service's lease outlives the holder's own view of it. */
  readonly margin: boolean
  /** No claim while an order of the former owner or an earlier own one is under way. */
  readonly takeoverWait: boolean
  /** A new owner unloads nothing before it has received the entry's inventory. */
  readonly inventory: boolean
  /** An adapter that the entry holds on an engine is not unloaded there. */
  readonly holders: boolean
  /** The entry uses no grant below the highest fence it has seen. */
  readonly staleGrant: boolean
  /** After its lease expired, a keeper owns only what it claims anew. */
  readonly reclaim: boolean
  /** The entry keeps a pin until the engine confirmed that a cut request is cancelled. */
  readonly confirmCancel: boolean
  /** Nothing is granted for an adapter whose unload is under way. */
  readonly noGrantWhileUnloading: boolean
  /** An inventory opens a new link, and grants under way over the old one are lost. */
  readonly linkDropsGrants: boolean
  /** A restarted engine has lost its cancels, so an inventory is required again. */
  readonly recancel: boolean
}

export const ALL_GUARDS: Guards = {
  leaseCheck: true,
  margin: true,
  takeoverWait: true,
  inventory: true,
  holders: true,
  staleGrant: true,
  reclaim: true,
  confirmCancel: true,
  noGrantWhileUnloading: true,
  linkDropsGrants: true,
  recancel: true
}

interface Keeper {
  /** Whether its lease in the service is valid. */
  readonly lease: boolean
  /** Whether the lease is valid in its own view. */
  readonly isLeaseValid: boolean
  /** The fence under which it owns the engine in its own view. 0 if it does not. */
  readonly ownedFence: number
  readonly hasInventory: boolean
  readonly entryHolds: boolean
  /** Whether it has an unload under way. It grants nothing until it has the outcome. */
  readonly unloading: boolean
  /** Whether the engine cancelled a silent entry's requests in place of an inventory. */
  readonly cancelled: boolean
}

export interface State {
  readonly keepers: readonly [Keeper, Keeper]
  /** Index of the owner in the service's record. -1 if there is none. */
  readonly owner: number
  /** Fence in the service's record. */
  readonly fence: number
  readonly entry: {
    readonly fence: number
    readonly holds: boolean
    /** Whether the entry counts a request as in progress or its end as unconfirmed. */
    readonly busy: boolean
  }
  readonly engine: {
    readonly loaded: boolean
    readonly running: boolean
    readonly floor: number
  }
  /** Fence of the grant under way, of which there is at most one. 0 if there is none. */
  readonly grant: number
  /** Whether the grant is newer than the last cancel and the engine's floor. */
  readonly grantIsNew: boolean
  /** Fence of the unload under way, of which there is at most one. 0 if there is none. */
  readonly unload: number
  /** Whether an adapter was unloaded while a request ran on it. */
  readonly violated: boolean
}

const IDLE_KEEPER: Keeper = {
  lease: true,
  isLeaseValid: true,
  ownedFence: 0,
  hasInventory: false,
  entryHolds: false,
  unloading: false,
  cancelled: false
}

export const INITIAL: State = {
  keepers: [IDLE_KEEPER, IDLE_KEEPER],
  owner: -1,
  fence: 0,
  entry: {fence: 0, holds: false, busy: false},
  engine: {loaded: true, running: false, floor: 0},
  grant: 0,
  grantIsNew: false,
  unload: 0,
  violated: false
}

export interface Action {
  readonly type: string
  readonly keeper: 0 | 1
}

const KEEPER_ACTIONS = [
  "ownViewEnds",
  "leaseLapses",
  "renew",
  "claim",
  "claimAnswerLost",
  "readRecord",
  "inventory",
  "inventoryLate",
  "grant",
  "release",
  "sendUnload",
  "cancelSilent"
] as const

const OTHER_ACTIONS = [
  "grantArrives",
  "grantLost",
  "grantUnused",
  "releaseLost",
  "serveOwnerless",
  "finish",
  "cut",
  "cancelConfirmed",
  "unloadArrives",
  "load",
  "restart"
] as const

export const ACTIONS: readonly Action[] = [
  ...KEEPER_ACTIONS.flatMap(type => [
    {type, keeper: 0 as const},
    {type, keeper: 1 as const}
  ]),
  ...OTHER_ACTIONS.map(type => ({type, keeper: 0 as const}))
]

export interface SpecOptions {
  readonly guards: Guards
  /** Whether the engine checks fences. */
  readonly checksFences: boolean
  /** Total number of claims, which bounds the exploration. */
  readonly maxFence: number
}

/** Returns the next state, or the same one if the action is not enabled. */
export function next(state: State, {type, keeper}: Action, options: SpecOptions): State {
  if (state.violated) return state
  const isKeeperAction = (KEEPER_ACTIONS as readonly string[]).includes(type)
  return isKeeperAction
    ? nextOfKeeper(state, type, keeper, options)
    : nextOfOthers(state, type, options)
}

function nextOfKeeper(
  state: State,
  type: string,
  index: 0 | 1,
  options: SpecOptions
): State {
  const {guards} = options
  const keeper = state.keepers[index]
  const updateKeeper = (change: Partial<Keeper>, rest: Partial<State> = {}): State => {
    const keepers: [Keeper, Keeper] = [...state.keepers]
    keepers[index] = {...keeper, ...change}
    return {...state, keepers, ...rest}
  }
  if (type === "ownViewEnds") return updateKeeper({isLeaseValid: false})
  if (type === "leaseLapses") {
    return guards.margin && keeper.isLeaseValid ? state : updateKeeper({lease: false})
  }
  switch (type) {
    case "renew":
      if (keeper.lease) return updateKeeper({isLeaseValid: true})
      return updateKeeper({
        lease: true,
        isLeaseValid: true,
        ...(guards.reclaim && {
          ownedFence: 0,
          hasInventory: false,
          entryHolds: false,
          unloading: false
        })
      })
    case "claim":
    case "claimAnswerLost":
      if (state.fence >= options.maxFence || !mayClaim(state, index, guards)) return state
      return updateKeeper(
        type === "claim"
          ? {
              ownedFence: state.fence + 1,
              hasInventory: false,
              entryHolds: false,
              unloading: false
            }
          : {},
        {owner: index, fence: state.fence + 1}
      )
    case "readRecord":
      if (state.owner !== index)
        return updateKeeper({ownedFence: 0, hasInventory: false, entryHolds: false})
      return state
    case "inventory": {
      if (keeper.ownedFence === 0 || keeper.ownedFence < state.entry.fence) return state
      const entry = {...state.entry, fence: keeper.ownedFence}
      const grant =
        guards.linkDropsGrants && state.grant === keeper.ownedFence ? 0 : state.grant
      const entryHolds = state.entry.holds || state.entry.busy
      return updateKeeper(
        {hasInventory: true, entryHolds, cancelled: false},
        {entry, grant}
      )
    }
    case "inventoryLate":
      // The inventory was buffered while its keeper was paused, so it is out of date.
      return keeper.ownedFence === 0 || keeper.ownedFence >= state.entry.fence
        ? state
        : updateKeeper({hasInventory: true, entryHolds: false, cancelled: false})
    case "grant":
      if (keeper.ownedFence === 0 || !keeper.hasInventory || state.grant !== 0)
        return state
      if (guards.noGrantWhileUnloading && keeper.unloading) return state
      return updateKeeper(
        {entryHolds: true},
        {grant: keeper.ownedFence, grantIsNew: true}
      )
    case "release":
      if (
        state.entry.busy ||
        keeper.ownedFence !== state.entry.fence ||
        state.grant !== 0
      )
        return state
      return updateKeeper({entryHolds: false}, {entry: {...state.entry, holds: false}})
    case "sendUnload":
      return maySendUnload(keeper, guards) && state.unload === 0
        ? updateKeeper({unloading: true}, {unload: keeper.ownedFence})
        : state
    case "cancelSilent": {
      if (!options.checksFences || keeper.ownedFence === 0 || !keeper.isLeaseValid)
        return state
      if (keeper.ownedFence < state.engine.floor) return state
      const engine = {...state.engine, running: false, floor: keeper.ownedFence}
      // The link has been silent for so long that both ends have closed it.
      const grant = state.grant === keeper.ownedFence ? 0 : state.grant
      return updateKeeper(
        {hasInventory: true, entryHolds: false, cancelled: true},
        {engine, grant, grantIsNew: false}
      )
    }
    default:
      return state
  }
}

function mayClaim(state: State, index: 0 | 1, guards: Guards): boolean {
  const keeper = state.keepers[index]
  if (!keeper.lease || !keeper.isLeaseValid) return false
  if (keeper.ownedFence === state.fence && state.owner === index) return false
  if (state.owner === -1) return true
  if (guards.takeoverWait && state.unload !== 0) return false
  return state.owner === index || !state.keepers[state.owner as 0 | 1].lease
}

function maySendUnload(keeper: Keeper, guards: Guards): boolean {
  if (keeper.ownedFence === 0) return false
  if (guards.leaseCheck && !keeper.isLeaseValid) return false
  if (guards.inventory && !keeper.hasInventory) return false
  return !(guards.holders && keeper.entryHolds)
}

function nextOfOthers(state: State, type: string, options: SpecOptions): State {
  const {guards, checksFences} = options
  const {entry, engine} = state
  switch (type) {
    case "grantArrives": {
      if (state.grant === 0) return state
      const stale = guards.staleGrant && state.grant < entry.fence
      if (stale || entry.busy) return {...state, grant: 0}
      const grantNumber = state.grantIsNew ? state.grant : state.grant - 1
      return dispatch(
        {...state, grant: 0, entry: {...entry, holds: true}},
        grantNumber,
        options
      )
    }
    case "grantLost":
      return {...state, grant: 0}
    case "grantUnused": {
      // The request has been abandoned meanwhile, but the entry still holds the adapter.
      const stale = guards.staleGrant && state.grant < entry.fence
      if (state.grant === 0 || stale) return state
      return {...state, grant: 0, entry: {...entry, holds: true}}
    }
    case "releaseLost":
      // The owner still counts the adapter as held by the entry.
      return entry.busy ? state : {...state, entry: {...entry, holds: false}}
    case "serveOwnerless":
      if (!entry.holds || entry.busy) return state
      return dispatch(state, entry.fence - 1, options)
    case "finish":
      if (!engine.running) return state
      return {
        ...state,
        engine: {...engine, running: false},
        entry: {...entry, busy: false}
      }
    case "cut":
      if (!entry.busy) return state
      return {...state, entry: {...entry, busy: guards.confirmCancel}}
    case "cancelConfirmed":
      if (!entry.busy) return state
      return {
        ...state,
        engine: {...engine, running: false},
        entry: {...entry, busy: false}
      }
    case "unloadArrives": {
      if (state.unload === 0) return state
      const refused = checksFences && state.unload < engine.floor
      if (refused) return settleUnload(state)
      return {
        ...settleUnload(state),
        engine: {...engine, loaded: false, floor: Math.max(engine.floor, state.unload)},
        violated: engine.running
      }
    }
    case "load": {
      // An owner doesn't load an adapter while an unload of it is under way.
      if (engine.loaded || state.unload !== 0) return state
      // An owner loads only what it saw to be missing, so it noticed the restart.
      const [first, second] = state.keepers
      const keepers = guards.recancel
        ? ([awaitInventoryAgain(first), awaitInventoryAgain(second)] as const)
        : state.keepers
      return {...state, keepers, engine: {...engine, loaded: true}}
    }
    case "restart":
      return {
        ...settleUnload(state),
        engine: {loaded: false, running: false, floor: 0},
        entry: {...entry, busy: false}
      }
    default:
      return state
  }
}

/** Ends an unload: its sender learns the outcome by the answer or the engine's list. */
function settleUnload(state: State): State {
  const [first, second] = state.keepers
  return {
    ...state,
    unload: 0,
    keepers: [
      {...first, unloading: false},
      {...second, unloading: false}
    ]
  }
}

function awaitInventoryAgain(keeper: Keeper): Keeper {
  return keeper.cancelled ? {...keeper, hasInventory: false, cancelled: false} : keeper
}

/** Runs a request unless its grant is cancelled or its adapter is not loaded. */
function dispatch(state: State, grant: number, {checksFences}: SpecOptions): State {
  const {engine, entry} = state
  if (!engine.loaded || (checksFences && grant < engine.floor)) return state
  return {...state, engine: {...engine, running: true}, entry: {...entry, busy: true}}
}
