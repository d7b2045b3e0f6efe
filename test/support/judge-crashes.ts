/** Requests that crash backend servers: how often they may still reach one. */
import type {Arrived, Judge} from "../stand-ins/platform-judge.js"

/** All boxes know of the third crash after this. */
const KNOWN_MS = 3_000

/** Crashes under one request until it is stopped. */
const CRASHES = 3

/** After that it reaches servers so often at most, over all boxes. */
const MOST_AFTER = 3

/**
 * Returns what did not hold, a line for each such request. `counts`: whether an arrival counts, which is not so
 * where the box that sent it was not in touch.
 */
export function judgeCrashes(
  {crashes, arrived}: Judge,
  counts: (request: Arrived) => boolean = () => true
): string[] {
  const bodies = new Set(crashes.map(({body}) => body))
  return [...bodies].flatMap(body => {
    const under = crashes.filter(crash => crash.body === body)
    const third = under[CRASHES - 1]
    if (!third) return []
    const after = arrived.filter(
      request =>
        request.body === body && request.at > third.at + KNOWN_MS && counts(request)
    )
    if (after.length <= MOST_AFTER) return []
    const lateMs = Math.round((after[MOST_AFTER]?.at ?? third.at) - third.at)
    return [
      `${body} reached servers ${after.length} times after ${CRASHES} had crashed under it, ` +
        `${under.length} in all; the fourth time ${lateMs} ms after`
    ]
  })
}
