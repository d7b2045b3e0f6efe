/** How long complete answers of each route take, as one box observes them. */

/** Weight of the newest answer in the moving averages. */
const NEWEST_WEIGHT = 1 / 8

interface AnswerTime {
  /** Moving averages of the time of an answer, and of its distance from the former (ms). */
  meanMs: number
  deviationMs: number
}

export class RouteTimes {
  private readonly routes_ = new Map<string, AnswerTime>()

  /** Records the time from a request to the end of its answer. */
  record(route: string, ms: number): void {
    const times = this.routes_.get(route)
    if (!times) {
      this.routes_.set(route, {meanMs: ms, deviationMs: 0})
      return
    }
    const distanceMs = ms - times.meanMs
    times.meanMs += distanceMs * NEWEST_WEIGHT
    times.deviationMs += (Math.abs(distanceMs) - times.deviationMs) * NEWEST_WEIGHT
  }

  /** Returns the time that an answer is likely to take at most. 0 if none is known. */
  likelyMs(route: string): number {
    const {meanMs = 0, deviationMs = 0} = this.routes_.get(route) ?? {}
    return meanMs + deviationMs
  }

  /** Forgets routes that are no longer configured. */
  retainOnly(routes: ReadonlySet<string>): void {
    for (const route of this.routes_.keys()) {
      if (!routes.has(route)) this.routes_.delete(route)
    }
  }
}
