/** Checks how often requests that crash backend servers still reach one. */
import type {ArrivedRequest, Judge} from "../stand-ins/platform-judge.js"

/** Time within which all boxes have the report of the third crash. */
const PROPAGATION_MS = 3_000

/** Number of crashes after which a request is quarantined. */
const CRASHES = 3

/**
 * Largest number of times that a quarantined request may reach servers, over all boxes.
 */
const MAX_AFTER = 3

/**
 * Returns a line for each request that reached servers too often. `counts` returns
 * whether an arrival counts, which it does not if the box that sent it was disconnected.
 */
export function judgeCrashes(
  {crashes, arrivedRequests: arrived}: Judge,
  counts: (request: ArrivedRequest) => boolean = () => true
): string[] {
  const bodies = new Set(crashes.map(({body}) => body))
  return [...bodies].flatMap(body => {
    const under = crashes.filter(crash => crash.body === body)
    const third = under[CRASHES - 1]
    if (!third) return []
    const after = arrived.filter(
      request =>
        request.body === body && request.at > third.at + PROPAGATION_MS && counts(request)
    )
    if (after.length <= MAX_AFTER) return []
    const lateMs = Math.round((after[MAX_AFTER]?.at ?? third.at) - third.at)
    return [
      `${body} reached servers ${after.length} times after ${CRASHES} had crashed under it, ` +
        `${under.length} in all; the fourth time ${lateMs} ms after`
    ]
  })
}
