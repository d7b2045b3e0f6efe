/**
 * Checks a trace of the core, step by step, against the transitions of the ownership
 * specification. Each observed step must be possible in at least one state of the
 * specification that fits the trace so far. Steps that a trace cannot show, such as the
 * expiry of a lease, may happen between any two observed steps.
 */
import {
  type Action,
  ACTIONS,
  ALL_GUARDS,
  INITIAL,
  next,
  type SpecOptions,
  type State
} from "../model/ownership-spec.js"

/** An observed step of the core, for one engine and one adapter. */
export interface Observation {
  readonly what:
    | "claim"
    | "grant"
    | "inventory"
    | "release"
    | "starts"
    | "ends"
    | "sendUnload"
    | "unloadArrives"
    | "load"
    | "restart"
  readonly keeper: 0 | 1
}

interface Rule {
  readonly types: readonly string[]
  /** Condition after the step. Undefined if the step must change the state. */
  readonly holds?: (state: State, keeper: 0 | 1) => boolean
}

const RULES: Readonly<Record<Observation["what"], Rule>> = {
  claim: {types: ["claim", "claimAnswerLost"]},
  grant: {types: ["grant"]},
  inventory: {
    types: ["inventory", "inventoryLate"],
    holds: (s, k) => s.keepers[k].ownedFence > 0 && s.keepers[k].hasInventory
  },
  release: {
    types: ["release"],
    holds: (s, k) => isCurrent(s, k) && !s.keepers[k].entryHolds
  },
  starts: {types: ["grantArrives", "serveOwnerless"], holds: s => s.engine.running},
  ends: {types: ["finish", "cancelConfirmed"], holds: s => !s.engine.running},
  sendUnload: {types: ["sendUnload"]},
  unloadArrives: {types: ["unloadArrives"]},
  load: {types: ["load"]},
  restart: {types: ["restart"], holds: () => true}
}

/** Actions of the specification that a trace does not show. */
const HIDDEN: ReadonlySet<string> = new Set([
  "ownViewEnds",
  "leaseLapses",
  "renew",
  "readRecord",
  "grantLost",
  "grantUnused",
  "releaseLost",
  "cut"
])

const OPTIONS: SpecOptions = {
  guards: ALL_GUARDS,
  checksFences: false,
  maxFence: Infinity
}

export class TraceChecker {
  private states_ = new Map([[JSON.stringify(INITIAL), INITIAL]])
  private trace_: string[] = []
  steps = 0
  /**
   * The last steps before and with the first one that no state allowed. Undefined if
   * there is none.
   */
  violation: string | undefined

  /** Checks the next step of the trace. */
  observe({what, keeper}: Observation): void {
    if (this.violation !== undefined) return
    this.steps++
    this.trace_ = [...this.trace_, `${what} ${keeper}`].slice(-30)
    this.states_ = this.advance(this.closure(), RULES[what], keeper)
    if (this.states_.size === 0) this.violation = this.trace_.join(", ")
  }

  private closure(): Map<string, State> {
    const all = new Map(this.states_)
    for (const state of all.values()) {
      for (const action of ACTIONS) {
        if (HIDDEN.has(action.type)) add(all, next(state, action, OPTIONS))
      }
    }
    return all
  }

  private advance(
    states: ReadonlyMap<string, State>,
    rule: Rule,
    keeper: 0 | 1
  ): Map<string, State> {
    const after = new Map<string, State>()
    for (const state of states.values()) {
      for (const type of rule.types) {
        const action: Action = {type, keeper}
        const reached = next(state, action, OPTIONS)
        if (rule.holds ? rule.holds(reached, keeper) : reached !== state)
          add(after, reached)
      }
    }
    return after
  }
}

function isCurrent({keepers, entry}: State, keeper: 0 | 1): boolean {
  return keepers[keeper].ownedFence === entry.fence
}

function add(states: Map<string, State>, state: State): void {
  if (!state.violated) states.set(JSON.stringify(state), state)
}
