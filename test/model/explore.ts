/** Explores the states of a specification exhaustively. */
import {getAdjacencyMap} from "@xstate/graph"
import {type EventObject, fromTransition} from "xstate"

export interface Exploration {
  readonly states: number
  /** A reachable state that violates the specification, if there is one. */
  readonly violation: string | undefined
}

/** Far above what specifications reach. Explorations are complete or the test fails. */
const STATE_LIMIT = 3_000_000

/**
 * Explores all states that actions can reach. Passes only actions that lead to a new
 * state to the library, because its queue would otherwise hold every transition.
 */
export function explore<S extends object, A extends EventObject>(
  initial: S,
  actions: readonly A[],
  next: (state: S, action: A) => S,
  isViolated: (state: S) => boolean
): Exploration {
  const logic = fromTransition((state: S, action: A) => next(state, action), initial)
  const seen = new Set([JSON.stringify(initial)])
  const isNew = (state: S): boolean => {
    const key = JSON.stringify(state)
    if (seen.has(key)) return false
    seen.add(key)
    return true
  }
  const map = getAdjacencyMap(logic, {
    events: ({context}) =>
      actions.filter(action => {
        const reached = next(context, action)
        return reached !== context && isNew(reached)
      }) as A[],
    serializeState: snapshot => JSON.stringify(snapshot.context) as never,
    serializeEvent: event => JSON.stringify(event) as never,
    stopWhen: ({context}) => isViolated(context),
    limit: STATE_LIMIT
  })
  const states = Object.keys(map).length
  const violating = Object.values(map).find(({state}) => isViolated(state.context))
  return {states, violation: violating && JSON.stringify(violating.state.context)}
}

/** Returns the nearest violating state. Undefined if none is reachable. */
export function findViolation<S extends object, A>(
  initial: S,
  actions: readonly A[],
  next: (state: S, action: A) => S,
  isViolated: (state: S) => boolean
): string | undefined {
  const seen = new Set([JSON.stringify(initial)])
  let frontier: S[] = [initial]
  while (frontier.length > 0) {
    const nextFrontier: S[] = []
    for (const state of frontier) {
      for (const action of actions) {
        const reached = next(state, action)
        if (reached === state) continue
        const key = JSON.stringify(reached)
        if (seen.has(key)) continue
        if (isViolated(reached)) return key
        seen.add(key)
        nextFrontier.push(reached)
      }
    }
    frontier = nextFrontier
  }
  return undefined
}
