/**
 * How long answers of each route take from the send of a request, as one box observes
 * them. A request that waits in the box is answered in time if it is sent early enough.
 */

/** Weight of the newest answer in the moving averages. */
const NEWEST_WEIGHT = 1 / 8

/**
 * Without an answer for this time, earlier ones tell nothing any more. Otherwise one slow
 * moment could have a box refuse all requests of a route, with no answer to correct it.
 */
const FORGET_MS = 5_000

/** The same for when a first byte is late, by which nothing is refused. */
const FORGET_LATE_MS = 60_000

/** Mean deviations beyond the mean after which a first byte is late. */
const LATE_DEVIATIONS = 8

/** Answers from which it is known when a first byte is late. */
const MIN_ANSWERS = 8

/** The time of one answer, from the send of its request (ms). */
export interface RouteAnswer {
  readonly firstMs: number
  readonly totalMs: number
}

class MovingTime {
  private meanMs_: number | undefined
  private deviationMs_ = 0

  record(ms: number): void {
    if (this.meanMs_ === undefined) {
      this.meanMs_ = ms
      return
    }
    const distanceMs = ms - this.meanMs_
    this.meanMs_ += distanceMs * NEWEST_WEIGHT
    this.deviationMs_ += (Math.abs(distanceMs) - this.deviationMs_) * NEWEST_WEIGHT
  }

  /** Records a lower bound of a time, which tells nothing if it is below the mean. */
  recordAtLeast(ms: number): void {
    if (this.meanMs_ !== undefined && ms > this.meanMs_) this.record(ms)
  }

  /** Returns the mean and so many deviations. Undefined if no time is known. */
  beyondMean(deviations: number): number | undefined {
    if (this.meanMs_ === undefined) return undefined
    return this.meanMs_ + deviations * this.deviationMs_
  }
}

interface AnswerTimes {
  first: MovingTime
  total: MovingTime
  /** Times to the first byte, remembered for longer, and their number. */
  readonly late: MovingTime
  answers: number
  recordedAt: number
}

export class RouteTimes {
  private readonly routes_ = new Map<string, AnswerTimes>()

  record(route: string, {firstMs, totalMs}: RouteAnswer, now: number): void {
    const times = this.find(route, now, FORGET_LATE_MS) ?? createTimes(now)
    this.routes_.set(route, times)
    if (now - times.recordedAt > FORGET_MS) {
      times.first = new MovingTime()
      times.total = new MovingTime()
    }
    times.recordedAt = now
    times.answers++
    times.first.record(firstMs)
    times.total.record(totalMs)
    times.late.record(firstMs)
  }

  /** Records that a request has had no first byte for this time. */
  recordSilence(route: string, ms: number, now: number): void {
    this.find(route, now, FORGET_LATE_MS)?.late.recordAtLeast(ms)
  }

  /** Returns the time that a whole answer is likely to take at most. 0 if none is known. */
  likelyMs(route: string, now: number): number {
    return this.find(route, now, FORGET_MS)?.total.beyondMean(1) ?? 0
  }

  /** The same to the first byte. */
  likelyFirstMs(route: string, now: number): number {
    return this.find(route, now, FORGET_MS)?.first.beyondMean(1) ?? 0
  }

  /** Returns the time after which a first byte is late. Undefined if none is known. */
  lateFirstMs(route: string, now: number): number | undefined {
    const times = this.find(route, now, FORGET_LATE_MS)
    if (!times || times.answers < MIN_ANSWERS) return undefined
    return times.late.beyondMean(LATE_DEVIATIONS)
  }

  /** Forgets routes that are no longer configured. */
  retainOnly(routes: ReadonlySet<string>): void {
    for (const route of this.routes_.keys()) {
      if (!routes.has(route)) this.routes_.delete(route)
    }
  }

  private find(route: string, now: number, forgetMs: number): AnswerTimes | undefined {
    const times = this.routes_.get(route)
    return times && now - times.recordedAt <= forgetMs ? times : undefined
  }
}

function createTimes(now: number): AnswerTimes {
  return {
    first: new MovingTime(),
    total: new MovingTime(),
    late: new MovingTime(),
    answers: 0,
    recordedAt: now
  }
}
