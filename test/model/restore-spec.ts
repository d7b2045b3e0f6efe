/**
 * Specification of a box's view of one server when the store is restored from older
 * backups. The box may run on or start anew. The server may restart once and may leave. A
 * backup may be of any earlier moment. Shares no code with the core. In one unit of time
 * a live server writes its entry and a box reads it.
 */

export interface Guards {
  /** For a while after a restore, entries of earlier incarnations are ignored. */
  readonly withholdEarlierIncarnation: boolean
  /** So are entries of servers unknown before the restore, which may have left. */
  readonly withholdUnknown: boolean
  /** A box that starts while the era is not settled ignores all entries for a while. */
  readonly distrustAtStart: boolean
  /** If no era has been settled yet, only the first one counts as settled. */
  readonly onlyFirstEraIsSettled: boolean
}

export const ALL_GUARDS: Guards = {
  withholdEarlierIncarnation: true,
  withholdUnknown: true,
  distrustAtStart: true,
  onlyFirstEraIsSettled: true
}

/** Age at which an entry that is not written expires. */
const ENTRY_EXPIRY = 2
/** How long restored entries are ignored: until unwritten ones have expired. */
const DISTRUST = ENTRY_EXPIRY + 1

/** How long after it left a server may still be used. */
const DRAIN = 1

const LAST_INCARNATION = 2
const LAST_ERA = 3

/** No entry, no incarnation or no settled era. */
const NONE = 0

interface Box {
  readonly up: boolean
  /** The incarnation to which it sends. */
  readonly target: number
  /** Incarnations that were replaced by later ones. */
  readonly ended: readonly number[]
  /** Time until it uses the entries that it reads. */
  readonly distrustFor: number
  /** Whether it was up when the store was restored. */
  readonly sawRestore: boolean
}

interface StoreContent {
  /** The incarnation that wrote the server's entry. */
  readonly entry: number
  /** The settled era. */
  readonly settled: number
}

export interface State {
  readonly incarnation: number
  /** Time since the server left, up to a bound. -1 while it is live. */
  readonly sinceLeft: number
  /** Whether the store lacked the entry for a whole unit, so that boxes could read it. */
  readonly isPublished: boolean
  readonly store: StoreContent
  /** Time since the entry was written by its incarnation. */
  readonly entryAge: number
  readonly backup: StoreContent
  readonly era: number
  readonly sinceRestore: number
  readonly box: Box
}

const NEW_BOX: Box = {
  up: true,
  target: NONE,
  ended: [],
  distrustFor: 0,
  sawRestore: false
}

export const INITIAL: State = {
  incarnation: 1,
  sinceLeft: -1,
  isPublished: false,
  store: {entry: 1, settled: NONE},
  entryAge: 0,
  backup: {entry: 1, settled: NONE},
  era: 1,
  sinceRestore: DISTRUST,
  box: NEW_BOX
}

export interface Action {
  readonly type:
    | "restart"
    | "write"
    | "leave"
    | "snapshot"
    | "drill"
    | "settle"
    | "kill"
    | "start"
    | "read"
    | "tick"
}

const ACTION_TYPES: readonly Action["type"][] = [
  "restart",
  "write",
  "leave",
  "snapshot",
  "drill",
  "settle",
  "kill",
  "start",
  "read",
  "tick"
]

export const ACTIONS: readonly Action[] = ACTION_TYPES.map(type => ({type}))

/** Whether requests go to a server that left, or a live one is never used again. */
export function isViolated({
  sinceLeft,
  isPublished,
  sinceRestore,
  incarnation,
  box
}: State): boolean {
  if (!box.up) return false
  // A departure that boxes could not read before a restore counts after entries expired.
  const mustBeKnown = sinceLeft > DRAIN && (isPublished || sinceRestore === DISTRUST)
  const usesLeftServer = mustBeKnown && box.target !== NONE
  const refusesLiveServer = sinceLeft < 0 && box.ended.includes(incarnation)
  return usesLeftServer || refusesLiveServer
}

/** Returns the next state, or the same one if the action is not enabled. */
export function next(state: State, {type}: Action, guards: Guards): State {
  const {incarnation, sinceLeft, store, backup, era, box} = state
  switch (type) {
    case "restart":
      return sinceLeft >= 0 || incarnation === LAST_INCARNATION
        ? state
        : {...state, incarnation: incarnation + 1}
    case "write":
      return sinceLeft >= 0 ? state : writeEntry(state)
    case "leave":
      if (sinceLeft >= 0) return state
      return {...state, sinceLeft: 0, store: {...store, entry: NONE}}
    case "snapshot":
      return {...state, backup: store}
    case "drill":
      if (era === LAST_ERA) return state
      return {
        ...state,
        store: backup,
        era: era + 1,
        sinceRestore: 0,
        entryAge: 0,
        box: {...box, sawRestore: box.up}
      }
    case "settle":
      // Written by a leader that has waited until the restored entries have expired.
      if (state.sinceRestore < DISTRUST) return state
      return {...state, store: {...store, settled: era}}
    case "kill":
      return {...state, box: {...NEW_BOX, up: false}}
    case "start":
      return box.up ? state : {...state, box: startBox(state, guards)}
    case "read":
      return box.up ? readEntry(state, guards) : state
    case "tick":
      return advanceTime(state, guards)
  }
}

function writeEntry(state: State): State {
  return {...state, store: {...state.store, entry: state.incarnation}, entryAge: 0}
}

function startBox({store, era}: State, guards: Guards): Box {
  const isSettled =
    store.settled === NONE
      ? era === 1 || !guards.onlyFirstEraIsSettled
      : store.settled === era || !guards.distrustAtStart
  return {...NEW_BOX, distrustFor: isSettled ? 0 : DISTRUST}
}

function readEntry(state: State, guards: Guards): State {
  const {store, sinceRestore, box} = state
  const {entry} = store
  const isFresh = box.sawRestore && sinceRestore < DISTRUST
  const updateBox = (change: Partial<Box>): State => ({
    ...state,
    box: {...box, ...change}
  })
  if (box.distrustFor > 0) return state
  if (entry === NONE) return updateBox({target: NONE})
  if (box.ended.includes(entry)) return state
  if (box.target === NONE && isFresh && guards.withholdUnknown) return state
  if (box.target === NONE || box.target === entry) return updateBox({target: entry})
  if (isFresh && entry < box.target && guards.withholdEarlierIncarnation) return state
  return updateBox({target: entry, ended: [...box.ended, box.target].sort()})
}

function advanceTime(state: State, guards: Guards): State {
  const {sinceLeft, store, entryAge, sinceRestore, box} = state
  const isExpired = sinceLeft >= 0 && entryAge >= ENTRY_EXPIRY
  const aged: State = {
    ...state,
    sinceLeft: sinceLeft < 0 ? sinceLeft : Math.min(DRAIN + 1, sinceLeft + 1),
    isPublished: state.isPublished || (sinceLeft >= 0 && store.entry === NONE),
    store: isExpired ? {...store, entry: NONE} : store,
    entryAge: Math.min(ENTRY_EXPIRY, entryAge + 1),
    sinceRestore: Math.min(DISTRUST, sinceRestore + 1),
    box: {...box, distrustFor: Math.max(0, box.distrustFor - 1)}
  }
  const written = sinceLeft < 0 ? writeEntry(aged) : aged
  return box.up ? readEntry(written, guards) : written
}
