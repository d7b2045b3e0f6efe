/**
 * Specification of what a box believes of one server as the store comes back from older copies: a box that lives on,
 * and one that starts. The server may start again once and may leave; copies may be of any moment before. It shares no
 * code with the core. Time is a unit in which a server that lives writes its entry, and a box reads it.
 */

export interface Guards {
  /** A life that an entry of a later era tells, and that started before the known one, is not believed for a while. */
  readonly withholdEarlierLife: boolean
  /** Nor is one that was not known as the era rose: it may have left before this box read of it. */
  readonly withholdUnknown: boolean
  /** A box that starts where the era is not settled believes no entry for a while. */
  readonly doubtAtStart: boolean
  /** Where nobody has settled an era, only the first one counts as settled. */
  readonly onlyFirstEraIsSettled: boolean
}

export const ALL_GUARDS: Guards = {
  withholdEarlierLife: true,
  withholdUnknown: true,
  doubtAtStart: true,
  onlyFirstEraIsSettled: true
}

/** An entry that nobody writes lapses after this, and a copy's is not believed for longer. */
const LAPSE = 2
const DOUBT = LAPSE + 1

/** A server that left may be believed in for so long. */
const DRAIN = 1

const LAST_LIFE = 2
const LAST_ERA = 3

/** No entry, no life, no settled era. */
const NONE = 0

interface Box {
  readonly up: boolean
  /** The life it sends to. */
  readonly uses: number
  /** Lives that others followed. */
  readonly ended: readonly number[]
  /** Until it believes what it reads. */
  readonly doubt: number
  /** It was up as the era rose. */
  readonly sawRise: boolean
}

/** What the store holds: a life's entry, and the era that is settled. */
interface Held {
  readonly entry: number
  readonly settled: number
}

export interface State {
  readonly life: number
  /** Since it left, up to a bound; -1: it lives. */
  readonly left: number
  /** The store has said that it left for a whole unit: boxes could hear of it. */
  readonly isTold: boolean
  readonly store: Held
  /** Since the entry was written by its life. */
  readonly entryAge: number
  readonly copy: Held
  readonly era: number
  readonly sinceRise: number
  readonly box: Box
}

const NEW_BOX: Box = {
  up: true,
  uses: NONE,
  ended: [],
  doubt: 0,
  sawRise: false
}

export const INITIAL: State = {
  life: 1,
  left: -1,
  isTold: false,
  store: {entry: 1, settled: NONE},
  entryAge: 0,
  copy: {entry: 1, settled: NONE},
  era: 1,
  sinceRise: DOUBT,
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

const TYPES: readonly Action["type"][] = [
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

export const ACTIONS: readonly Action[] = TYPES.map(type => ({type}))

/** Whether requests go to a server that left, or a life that goes on is never used again. */
export function isViolated({left, isTold, sinceRise, life, box}: State): boolean {
  if (!box.up) return false
  // What a copy lost before anybody could read it binds once entries have lapsed.
  const binds = left > DRAIN && (isTold || sinceRise === DOUBT)
  const sendsToLeft = binds && box.uses !== NONE
  const refusesLiving = left < 0 && box.ended.includes(life)
  return sendsToLeft || refusesLiving
}

/** The next state; the same one where the action is not enabled. */
export function next(state: State, {type}: Action, guards: Guards): State {
  const {life, left, store, copy, era, box} = state
  switch (type) {
    case "restart":
      return left >= 0 || life === LAST_LIFE ? state : {...state, life: life + 1}
    case "write":
      return left >= 0 ? state : write(state)
    case "leave":
      if (left >= 0) return state
      return {...state, left: 0, store: {...store, entry: NONE}}
    case "snapshot":
      return {...state, copy: store}
    case "drill":
      if (era === LAST_ERA) return state
      return {
        ...state,
        store: copy,
        era: era + 1,
        sinceRise: 0,
        entryAge: 0,
        box: {...box, sawRise: box.up}
      }
    case "settle":
      // Written by a leader that has outlasted the copy's entries.
      if (state.sinceRise < DOUBT) return state
      return {...state, store: {...store, settled: era}}
    case "kill":
      return {...state, box: {...NEW_BOX, up: false}}
    case "start":
      return box.up ? state : {...state, box: startBox(state, guards)}
    case "read":
      return box.up ? read(state, guards) : state
    case "tick":
      return tick(state, guards)
  }
}

function write(state: State): State {
  return {...state, store: {...state.store, entry: state.life}, entryAge: 0}
}

function startBox({store, era}: State, guards: Guards): Box {
  const isSettled =
    store.settled === NONE
      ? era === 1 || !guards.onlyFirstEraIsSettled
      : store.settled === era || !guards.doubtAtStart
  return {...NEW_BOX, doubt: isSettled ? 0 : DOUBT}
}

function read(state: State, guards: Guards): State {
  const {store, sinceRise, box} = state
  const {entry} = store
  const isFresh = box.sawRise && sinceRise < DOUBT
  const put = (change: Partial<Box>): State => ({...state, box: {...box, ...change}})
  if (box.doubt > 0) return state
  if (entry === NONE) return put({uses: NONE})
  if (box.ended.includes(entry)) return state
  if (box.uses === NONE && isFresh && guards.withholdUnknown) return state
  if (box.uses === NONE || box.uses === entry) return put({uses: entry})
  if (isFresh && entry < box.uses && guards.withholdEarlierLife) return state
  return put({uses: entry, ended: [...box.ended, box.uses].sort()})
}

function tick(state: State, guards: Guards): State {
  const {left, store, entryAge, sinceRise, box} = state
  const lapsed = left >= 0 && entryAge >= LAPSE
  const passed: State = {
    ...state,
    left: left < 0 ? left : Math.min(DRAIN + 1, left + 1),
    isTold: state.isTold || (left >= 0 && store.entry === NONE),
    store: lapsed ? {...store, entry: NONE} : store,
    entryAge: Math.min(LAPSE, entryAge + 1),
    sinceRise: Math.min(DOUBT, sinceRise + 1),
    box: {...box, doubt: Math.max(0, box.doubt - 1)}
  }
  const written = left < 0 ? write(passed) : passed
  return box.up ? read(written, guards) : written
}
