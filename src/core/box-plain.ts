/** Applies what a box learned about servers without engines to its requests. */
import type {BackendRecord} from "../types/fleet.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {type AnswerTime, coldRateOfBox, type ServerSpeedChange} from "./plain-servers.js"
import {countSentAttempts} from "./box-retries.js"
import {isRetryableRoute} from "./route-table.js"

/**
 * Cost of a server that is not a candidate for this request, as equivalent prompt tokens:
 * more than other loads and data centres, less than servers that failed or that this box
 * does not reach. It is no refusal: if all others are worse, the server is used.
 */
const RESERVED_COST_TOKENS = 20_000

/** Whether the request is for a service without engines. */
export function isPlainRequest(box: BoxServing, {arrival}: BoxRequest): boolean {
  const {service, weights} = arrival
  return !weights && box.table?.services.get(service)?.engine === undefined
}

/** Applies the list of backend servers. */
export function observePlainServers(box: BoxServing, now: number): void {
  if (!box.plainServers.isNewList(box.backends, box.table)) return
  const records = [...box.backends.known.values()].map(({record}) => record)
  const plain = records.filter(
    ({service}) => box.table?.services.get(service)?.engine === undefined
  )
  box.plainServers.observe(plain, now)
}

/**
 * Returns the additional cost of each server that is slow, cold, new or at its limit of
 * own requests. No random number is drawn if there is none.
 */
export function plainServerCosts(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly {readonly backend: BackendRecord}[],
  now: number
): ReadonlyMap<string, number> | undefined {
  if (!isPlainRequest(box, request)) return undefined
  const {plainServers, inProgress} = box
  const shares = candidates.map(({backend}) => plainServers.shareOf(backend.id, now))
  const draw = drawTrial(box, request, shares)
  const costs = new Map<string, number>()
  for (const [index, {backend}] of candidates.entries()) {
    const {id} = backend
    const share = shares[index] as number
    const isReserved = share < 1 && draw >= share
    const isAtLimit = plainServers.isAtLimit(id, inProgress.get(id) ?? 0)
    if (isReserved || isAtLimit) costs.set(id, RESERVED_COST_TOKENS)
  }
  return costs
}

/**
 * A request that has reached a server before is no trial of a slow one: it may have to be
 * sent once more, and such sends draw on the budget that all boxes share.
 */
function drawTrial(
  box: BoxServing,
  request: BoxRequest,
  shares: readonly number[]
): number {
  if (countSentAttempts(request) > 0 || shares.every(share => share === 1)) return 1
  return box.options.random()
}

/** Whether the server is cold and this box has used its part of the server's rate. */
export function isColdRateUsed(
  box: BoxServing,
  request: BoxRequest,
  {id}: BackendRecord,
  now: number
): boolean {
  const periodMs = coldPeriodMs(box, request)
  if (periodMs === undefined || !box.plainServers.isCold(id, now)) return false
  // Boxes start at different times, so that they do not all send at once.
  if (box.plainServers.needsColdStart(id)) {
    box.plainServers.startColdRate(id, box.options.random() * periodMs, now)
  }
  return box.plainServers.isColdRateUsed(id, now)
}

/** Records a send to a server without engines. */
export function recordPlainSend(
  box: BoxServing,
  request: BoxRequest,
  backend: string,
  now: number
): void {
  const periodMs = coldPeriodMs(box, request)
  if (periodMs !== undefined) box.plainServers.recordColdSend(backend, periodMs, now)
}

/** Time between two sends of this box to one cold server. Undefined if not limited. */
function coldPeriodMs(box: BoxServing, request: BoxRequest): number | undefined {
  if (!isPlainRequest(box, request)) return undefined
  const perSecond = box.table?.services.get(request.arrival.service)?.coldPerS
  return perSecond === undefined
    ? undefined
    : 1_000 / coldRateOfBox(perSecond, box.boxCount)
}

/** Records the time of a complete answer of a server without engines. */
export function recordPlainAnswer(
  box: BoxServing,
  request: BoxRequest,
  {backend, via, latencyMs}: Attempt,
  now: number
): void {
  // Over another box the time is also that of the path.
  if (latencyMs === undefined || via !== undefined) return
  if (!isPlainRequest(box, request)) return
  const answer = describeAnswer(box, request, backend, latencyMs)
  logSpeedChange(box, backend, box.plainServers.recordAnswer(backend, answer, now))
}

/** Records that a request was moved from a silent server without engines. */
export function recordPlainMove(
  box: BoxServing,
  request: BoxRequest,
  {backend, via, sentAt}: Attempt,
  now: number
): void {
  if (via !== undefined) return
  const silence = describeAnswer(box, request, backend, now - sentAt)
  logSpeedChange(box, backend, box.plainServers.recordMove(backend, silence, now))
}

/**
 * Returns the silence after which the first attempt of a repeatable request is moved from
 * a slow server to another one (ms). Undefined if it is not moved earlier than others. Later
 * attempts are not, as each send to a further server draws on the budget of all boxes.
 */
export function plainHedgeMs(
  box: BoxServing,
  request: BoxRequest,
  {headReceived, via, backend}: Attempt
): number | undefined {
  const {route, service} = request.arrival
  if (headReceived || via !== undefined) return undefined
  // At a server of usual speed the answer is near, and ending the attempt wastes its work.
  if (!box.plainServers.isSlow(backend)) return undefined
  if (countSentAttempts(request) !== 1) return undefined
  if (!isRetryableRoute(route)) return undefined
  if (route.kind === "streaming" || !isPlainRequest(box, request)) return undefined
  return box.plainServers.hedgeAfterMs(service, route.name)
}

function describeAnswer(
  {inProgress}: BoxServing,
  {arrival}: BoxRequest,
  backend: string,
  ms: number
): AnswerTime {
  return {
    service: arrival.service,
    route: arrival.route.name,
    ms,
    inProgress: inProgress.get(backend) ?? 0
  }
}

function logSpeedChange(
  box: BoxServing,
  backend: string,
  changed: ServerSpeedChange | undefined
): void {
  if (!changed) return
  const {change, ratio} = changed
  const event = change === "slow" ? "plain-server-slow" : "plain-server-restored"
  logEvent(box, event, {backend, ratio: Math.round(ratio * 100) / 100})
}
