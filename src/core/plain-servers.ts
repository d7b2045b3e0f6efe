/**
 * What a box has learned about the servers of services without engines: how fast each
 * answers relative to the others, which share of requests it gets, and how many requests
 * of this box it may have in progress. Pure state; the box learns it again after a
 * restart.
 */

/** A server as this box knows it from the list of backend servers. */
export interface ListedServer {
  readonly id: string
  readonly service: string
  /** Time for which the server said that it is cold, from its first sight (ms). */
  readonly coldRemainingMs: number
}

/** A complete answer, or the silence after which a request was moved. */
export interface AnswerTime {
  readonly service: string
  readonly route: string
  /** Time from sending to the head of the answer, or the silence so far (ms). */
  readonly ms: number
  /** Requests of this box in progress at the server, including this one. */
  readonly inProgress: number
}

/** A change of a server that is logged. */
export interface ServerSpeedChange {
  readonly change: "slow" | "full"
  /** Latency of the server, relative to the usual one of the service. */
  readonly ratio: number
}

/** Multiple of the median of the other servers from which a server is slow. */
const SLOW_FACTOR = 2

/**
 * Mean deviations above the usual latency within which an answer is not slow. Answers of
 * a service whose latency varies much (exponential: mean deviation 0.74) would otherwise
 * often take over twice the usual time although all servers are equal.
 */
const SLOW_DEVIATIONS = 4

/**
 * Least excess over the others' latency of a slow server (ms). Smaller differences are
 * those of a box that shares a core.
 */
const MIN_EXCESS_MS = 10

/** Shortest latency that is recorded (ms); latencies are divided by each other. */
const MIN_LATENCY_MS = 0.1

/** Part of a usual share that a slow server gets: a candidate for one in eight requests. */
const SLOW_SHARE = 1 / 8

/** Part of a usual share that a cold or new server gets. */
const COLD_SHARE = 1 / 2

/** Time for which a server that appeared counts as new. */
const NEW_SERVER_MS = 2_000

/**
 * Time constant of the decayed latency. A server that became 2.5 times as slow is above
 * twice the others' latency after 550 ms of many answers, and after one answer of few.
 */
const DECAY_MS = 500

/** Weight of an answer in the mean deviation. */
const DEVIATION_WEIGHT = 1 / 8

/** Answers of a route from which its usual latency is known. */
const MIN_ANSWERS = 8

/**
 * Least step of the running median of a route's latency, as a part of it. Early steps are
 * larger, so that a first answer over a new connection has no lasting effect.
 */
const MEDIAN_STEP = 0.05

/** Shortest silence before a second attempt (ms): two ticks of a box. */
const MIN_HEDGE_MS = 40

/**
 * Standard deviations between the expected rate of all boxes and the configured one.
 * Boxes do not coordinate their sends, which come at random times: with 85 boxes and
 * their whole parts of 4 a second, up to 6 came in one second.
 */
const COLD_RATE_MARGIN = 4

/** Longest time for which a server counts as cold. */
const MAX_COLD_MS = 300_000

/** Routes whose usual latency is remembered; the oldest is dropped beyond that. */
const MAX_ROUTES = 1_000

interface PlainServer {
  readonly service: string
  /** -Infinity if it was there before this box knew the service. */
  readonly appearedAt: number
  readonly coldUntil: number
  /**
   * Time from which this box may send it a request while it is cold. Undefined until the
   * rate of cold servers is applied to it.
   */
  coldSendAt: number | undefined
  /** Decayed latency, relative to the usual one of each route. Undefined at first. */
  ratio: number | undefined
  /** Mean deviation of the latency from the usual one, relative to it. */
  deviation: number
  lastAnswerAt: number
  /** Part of a usual share: 1, or less if it is slow or returns. */
  share: number
  /** Largest number of own requests in progress. Undefined if there is no limit. */
  limit: number | undefined
  /** The limit is lifted when it has grown to this number. */
  liftLimitAt: number
}

interface RouteLatency {
  /** Running median of the answers' latency (ms). */
  usualMs: number
  answers: number
}

export class PlainServers {
  private list_: object | undefined
  private table_: object | undefined
  private readonly servers_ = new Map<string, PlainServer>()
  private readonly routes_ = new Map<string, RouteLatency>()
  /** Requests moved early from a silent server, since the start of the box. */
  moved = 0

  /** Number of servers with a reduced share because they are or were slow. */
  get slow(): number {
    return [...this.servers_.values()].filter(({share}) => share < 1).length
  }

  /** Whether the list or the configuration is another one than at the last call. */
  isNewList(list: object, table: object | undefined): boolean {
    const isNew = list !== this.list_ || table !== this.table_
    this.list_ = list
    this.table_ = table
    return isNew
  }

  /** Applies the list of servers; forgets those that are gone. */
  observe(listed: readonly ListedServer[], now: number): void {
    const services = new Set([...this.servers_.values()].map(({service}) => service))
    const ids = new Set(listed.map(({id}) => id))
    for (const id of this.servers_.keys()) if (!ids.has(id)) this.servers_.delete(id)
    for (const server of listed) {
      if (this.servers_.has(server.id)) continue
      this.servers_.set(server.id, createServer(server, services, now))
    }
  }

  /** Returns the part of a usual share that the server gets, up to 1. */
  shareOf(id: string, now: number): number {
    const server = this.servers_.get(id)
    if (!server) return 1
    const isNew = now < server.coldUntil || now - server.appearedAt < NEW_SERVER_MS
    return Math.min(server.share, isNew ? COLD_SHARE : 1)
  }

  isSlow(id: string): boolean {
    return (this.servers_.get(id)?.share ?? 1) < 1
  }

  /** Whether this box has as many requests in progress at the server as it should. */
  isAtLimit(id: string, inProgress: number): boolean {
    return inProgress >= (this.servers_.get(id)?.limit ?? Infinity)
  }

  isCold(id: string, now: number): boolean {
    return now < (this.servers_.get(id)?.coldUntil ?? -Infinity)
  }

  /** Whether the server is cold and this box has used its part of the server's rate. */
  isColdRateUsed(id: string, now: number): boolean {
    const server = this.servers_.get(id)
    return (
      server !== undefined &&
      now < server.coldUntil &&
      now < (server.coldSendAt ?? -Infinity)
    )
  }

  /** Whether `startColdRate` is still to be called for the server. */
  needsColdStart(id: string): boolean {
    const server = this.servers_.get(id)
    return server !== undefined && server.coldSendAt === undefined
  }

  /** Sets when the server may get its first request while it is cold. */
  startColdRate(id: string, delayMs: number, now: number): void {
    const server = this.servers_.get(id)
    if (server) server.coldSendAt = now + delayMs
  }

  /** Records a send to a cold server; the next one may follow after `periodMs`. */
  recordColdSend(id: string, periodMs: number, now: number): void {
    const server = this.servers_.get(id)
    if (server && now < server.coldUntil) server.coldSendAt = now + periodMs
  }

  /** Records the time of an answer. Returns what changed, if that is to be logged. */
  recordAnswer(
    id: string,
    answer: AnswerTime,
    now: number
  ): ServerSpeedChange | undefined {
    const server = this.servers_.get(id)
    const usualMs = this.usualMsOf(answer.service, answer.route)
    this.recordRoute(answer)
    if (!server || usualMs === undefined) return undefined
    const ratio = Math.max(MIN_LATENCY_MS, answer.ms) / usualMs
    const others = this.listOthers(id, server.service)
    const isMuchOver = (value: number, usual: number): boolean =>
      value > slowFactor(others) * usual && (value - usual) * usualMs > MIN_EXCESS_MS
    const usualOfOthers = median(others.map(other => other.ratio as number))
    updateLimit(server, isMuchOver(ratio, 1), answer.inProgress)
    const decayed = recordRatio(server, ratio, now)
    if (server.share < 1) {
      return updateShare(server, isMuchOver(ratio, usualOfOthers), ratio)
    }
    if (!isMuchOver(decayed, usualOfOthers)) return undefined
    server.share = SLOW_SHARE
    return {change: "slow", ratio: decayed}
  }

  /**
   * Records that a request was moved from a server because it was silent. The silence is
   * the least time that the answer would have taken.
   */
  recordMove(
    id: string,
    silence: AnswerTime,
    now: number
  ): ServerSpeedChange | undefined {
    this.moved++
    return this.recordAnswer(id, silence, now)
  }

  /**
   * Returns the silence after which a repeatable request may be moved (ms), or undefined
   * if the usual latency is not known yet.
   */
  hedgeAfterMs(service: string, route: string): number | undefined {
    const usualMs = this.usualMsOf(service, route)
    if (usualMs === undefined) return undefined
    const factor = slowFactor(this.listOthers("", service))
    return Math.max(MIN_HEDGE_MS, usualMs * factor)
  }

  /** Usual latency of the route (ms). Undefined if it is not known yet. */
  private usualMsOf(service: string, route: string): number | undefined {
    const known = this.routes_.get(routeKey(service, route))
    return known && known.answers >= MIN_ANSWERS ? known.usualMs : undefined
  }

  private listOthers(id: string, ofService: string): PlainServer[] {
    const others: PlainServer[] = []
    for (const [other, server] of this.servers_) {
      if (other === id || server.service !== ofService) continue
      if (server.ratio !== undefined) others.push(server)
    }
    return others
  }

  private recordRoute(answer: AnswerTime): void {
    const {service, route} = answer
    const ms = Math.max(MIN_LATENCY_MS, answer.ms)
    const key = routeKey(service, route)
    const known = this.routes_.get(key)
    if (known) {
      known.answers++
      const step = Math.max(MEDIAN_STEP, 1 / known.answers) * known.usualMs
      const change = ms - known.usualMs
      known.usualMs += Math.max(-step, Math.min(step, change))
      return
    }
    const [oldest] = this.routes_.keys()
    if (this.routes_.size >= MAX_ROUTES && oldest !== undefined) {
      this.routes_.delete(oldest)
    }
    this.routes_.set(key, {usualMs: ms, answers: 1})
  }
}

/**
 * Returns how many requests a second one of the boxes may send to a cold server, so that
 * all together keep the rate (per second). A box that may send a whole number each second
 * keeps it exactly. Otherwise the sends of all in a second are random, with a variance of
 * r (1 - r / boxes) at an expected rate of r.
 */
export function coldRateOfBox(perSecond: number, boxes: number): number {
  if (perSecond >= boxes) return Math.floor(perSecond / boxes)
  // Solves (perSecond - r)^2 = margin^2 * r * (1 - r / boxes) for the lower r.
  const a = 1 + COLD_RATE_MARGIN ** 2 / boxes
  const b = 2 * perSecond + COLD_RATE_MARGIN ** 2
  const expected = (b - Math.sqrt(b * b - 4 * a * perSecond ** 2)) / (2 * a)
  return expected / boxes
}

/**
 * Servers of the first list of a service are not new: the box may have started later than
 * they did.
 */
function createServer(
  {service, coldRemainingMs}: ListedServer,
  knownServices: ReadonlySet<string>,
  now: number
): PlainServer {
  return {
    service,
    appearedAt: knownServices.has(service) ? now : -Infinity,
    coldUntil: now + Math.min(MAX_COLD_MS, coldRemainingMs),
    coldSendAt: undefined,
    ratio: undefined,
    deviation: 0,
    lastAnswerAt: -Infinity,
    share: 1,
    limit: undefined,
    liftLimitAt: 0
  }
}

function routeKey(service: string, route: string): string {
  return `${service} ${route}`
}

/** Multiple of the usual latency above which an answer or a server is slow. */
function slowFactor(servers: readonly PlainServer[]): number {
  if (servers.length === 0) return SLOW_FACTOR
  const deviation = median(servers.map(server => server.deviation))
  return Math.max(SLOW_FACTOR, 1 + SLOW_DEVIATIONS * deviation)
}

/** Returns the median, or the mean of the middle two. Infinity if there is no value. */
function median(values: readonly number[]): number {
  if (values.length === 0) return Infinity
  const sorted = [...values].sort((a, b) => a - b)
  const middle = (sorted.length - 1) / 2
  const low = sorted[Math.floor(middle)] as number
  const high = sorted[Math.ceil(middle)] as number
  return (low + high) / 2
}

/** Returns the decayed latency of the server, relative to the usual one. */
function recordRatio(server: PlainServer, ratio: number, now: number): number {
  const weight = 1 - Math.exp(-(now - server.lastAnswerAt) / DECAY_MS)
  const previous = server.ratio ?? ratio
  const decayed = previous + weight * (ratio - previous)
  server.ratio = decayed
  const deviation = Math.abs(ratio - 1)
  server.deviation += DEVIATION_WEIGHT * (deviation - server.deviation)
  server.lastAnswerAt = now
  return decayed
}

/** The limit halves with each slow answer, and grows by one with each good one. */
function updateLimit(server: PlainServer, isSlow: boolean, inProgress: number): void {
  if (isSlow) {
    server.liftLimitAt =
      server.limit === undefined
        ? inProgress + 1
        : Math.max(server.liftLimitAt, inProgress + 1)
    const most = Math.min(server.limit ?? inProgress, inProgress)
    server.limit = Math.max(1, Math.floor(most / 2))
  } else if (server.limit !== undefined) {
    server.limit++
    if (server.limit >= server.liftLimitAt) server.limit = undefined
  }
}

/** The share of a server that was slow doubles with each good answer. */
function updateShare(
  server: PlainServer,
  isSlow: boolean,
  ratio: number
): ServerSpeedChange | undefined {
  if (isSlow) {
    server.share = SLOW_SHARE
    return undefined
  }
  server.share = Math.min(1, server.share * 2)
  if (server.share < 1) return undefined
  // Earlier slow answers must not make it slow again.
  server.ratio = ratio
  return {change: "full", ratio}
}
