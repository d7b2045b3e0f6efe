/** Explores all states of a specification. */
import {getAdjacencyMap} from "@xstate/graph"
import {type EventObject, fromTransition} from "xstate"

export interface Exploration {
  readonly states: number
  /** A reachable state that must not be, if there is one. */
  readonly violation: string | undefined
}

/** Far above what the specifications reach: the exploration is whole, or the test fails. */
const STATE_LIMIT = 3_000_000

/**
 * Explores all states that actions can reach. Only actions to a state not met before are given
 * to the library, whose queue would otherwise hold every transition.
 */
export function explore<S extends object, A extends EventObject>(
  initial: S,
  actions: readonly A[],
  next: (state: S, action: A) => S,
  isViolated: (state: S) => boolean
): Exploration {
  const logic = fromTransition((state: S, action: A) => next(state, action), initial)
  const met = new Set([JSON.stringify(initial)])
  const isNew = (state: S): boolean => {
    const key = JSON.stringify(state)
    if (met.has(key)) return false
    met.add(key)
    return true
  }
  const map = getAdjacencyMap(logic, {
    events: ({context}) => actions.filter(action => isNew(next(context, action))) as A[],
    serializeState: snapshot => JSON.stringify(snapshot.context) as never,
    serializeEvent: event => JSON.stringify(event) as never,
    stopWhen: ({context}) => isViolated(context),
    limit: STATE_LIMIT
  })
  const states = Object.keys(map).length
  const bad = Object.values(map).find(({state}) => isViolated(state.context))
  return {states, violation: bad && JSON.stringify(bad.state.context)}
}

/** The first reachable state that must not be, nearest to the initial one; undefined: there is none. */
export function findViolation<S extends object, A>(
  initial: S,
  actions: readonly A[],
  next: (state: S, action: A) => S,
  isViolated: (state: S) => boolean
): string | undefined {
  const met = new Set([JSON.stringify(initial)])
  let front: S[] = [initial]
  while (front.length > 0) {
    const after: S[] = []
    for (const state of front) {
      for (const action of actions) {
        const reached = next(state, action)
        const key = JSON.stringify(reached)
        if (met.has(key)) continue
        if (isViolated(reached)) return key
        met.add(key)
        after.push(reached)
      }
    }
    front = after
  }
  return undefined
}
