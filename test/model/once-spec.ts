/**
 * Specification of the register: one idempotency key, two attempts at different entries,
 * two successive owners, and a log whose last bucket a new owner seals. Shares no code
 * with the core.
 */

export interface Guards {
  /** An attempt is granted only after its log line is durable. */
  readonly durableFirst: boolean
  /** A new owner seals the log before it reads it. */
  readonly seal: boolean
  /** A new owner reads the log before it grants. */
  readonly readLog: boolean
  /** After a failed write its attempt is refused and never continues. */
  readonly refuseFinally: boolean
  /** Only an attempt that certainly did not run frees the key. */
  readonly freeOnlyNotRun: boolean
}

export const ALL_GUARDS: Guards = {
  durableFirst: true,
  seal: true,
  readLog: true,
  refuseFinally: true,
  freeOnlyNotRun: true
}

type Attempt = "new" | "asked" | "granted" | "ran" | "refused"

interface Owner {
  readonly active: boolean
  /** The attempt that holds the key according to its memory. -1 if none does. */
  readonly holder: number
  /** Whether a write of the holder's line is under way. */
  readonly writing: boolean
}

export interface State {
  readonly attempts: readonly [Attempt, Attempt]
  readonly owners: readonly [Owner, Owner]
  /** The holder in the durable log. -1 if there is none. */
  readonly log: number
  readonly sealed: boolean
  /** Whether the caller of each attempt was answered "not run". */
  readonly answeredNotRun: readonly [boolean, boolean]
  readonly runs: number
  /** Whether an attempt ran after its caller was answered "not run". */
  readonly ranAfterNotRun: boolean
}

export const INITIAL: State = {
  attempts: ["new", "new"],
  owners: [
    {active: true, holder: -1, writing: false},
    {active: false, holder: -1, writing: false}
  ],
  log: -1,
  sealed: false,
  answeredNotRun: [false, false],
  runs: 0,
  ranAfterNotRun: false
}

export interface Action {
  readonly type: string
  readonly attempt: 0 | 1
  readonly owner: 0 | 1
}

const ACTION_TYPES = [
  "ask",
  "reserve",
  "writeActs",
  "writeAnswered",
  "writeAnswerLost",
  "writeFails",
  "run",
  "giveUp",
  "takeover"
] as const

export const ACTIONS: readonly Action[] = ACTION_TYPES.flatMap(type =>
  ([0, 1] as const).flatMap(attempt =>
    ([0, 1] as const).map(owner => ({type, attempt, owner}))
  )
)

/** Returns the next state, or the same one if the action is not enabled. */
export function next(
  state: State,
  {type, attempt, owner}: Action,
  guards: Guards
): State {
  const phase = state.attempts[attempt]
  const self = state.owners[owner]
  const putAttempt = (value: Attempt, rest: Partial<State> = {}): State => {
    const attempts: [Attempt, Attempt] = [...state.attempts]
    attempts[attempt] = value
    return {...state, attempts, ...rest}
  }
  const putOwner = (change: Partial<Owner>): Pick<State, "owners"> => {
    const owners: [Owner, Owner] = [...state.owners]
    owners[owner] = {...self, ...change}
    return {owners}
  }
  // The first owner may still act after the takeover, for example after a pause.
  switch (type) {
    case "ask":
      return phase === "new" ? putAttempt("asked") : state
    case "reserve":
      if (phase !== "asked" || !self.active || self.writing) return state
      if (self.holder !== -1 && self.holder !== attempt) return putAttempt("refused")
      if (!guards.durableFirst) {
        return putAttempt("granted", putOwner({holder: attempt, writing: true}))
      }
      return {...state, ...putOwner({holder: attempt, writing: true})}
    case "writeActs":
      if (!self.writing || (owner === 0 && state.sealed)) return state
      return {...state, log: self.holder}
    case "writeAnswered":
      if (!self.writing || state.log !== self.holder || self.holder !== attempt)
        return state
      if (owner === 0 && state.sealed) return state
      if (phase !== "asked") return {...state, ...putOwner({writing: false})}
      return putAttempt("granted", putOwner({writing: false}))
    case "writeAnswerLost":
    case "writeFails":
      if (!self.writing || self.holder !== attempt || phase !== "asked") return state
      if (guards.refuseFinally) {
        return putAttempt("refused", putOwner({writing: false, holder: -1}))
      }
      return {
        ...state,
        answeredNotRun:
          attempt === 0
            ? [true, state.answeredNotRun[1]]
            : [state.answeredNotRun[0], true],
        ...putOwner({writing: false, holder: -1})
      }
    case "run":
      if (phase !== "granted") return state
      return putAttempt("ran", {
        runs: state.runs + 1,
        ranAfterNotRun: state.answeredNotRun[attempt]
      })
    case "giveUp":
      // Ends an attempt. The key is freed only if the attempt certainly did not run.
      if (self.holder !== attempt || self.writing) return state
      if (phase === "granted") return putAttempt("refused", putOwner({holder: -1}))
      if (phase === "ran" && !guards.freeOnlyNotRun) {
        return {...state, ...putOwner({holder: -1})}
      }
      return state
    case "takeover":
      if (owner !== 1 || self.active) return state
      return {
        ...state,
        sealed: guards.seal,
        ...putOwner({active: true, holder: guards.readLog ? state.log : -1})
      }
    default:
      return state
  }
}
