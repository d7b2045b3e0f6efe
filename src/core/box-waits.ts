/** Requests that wait for weights or a backend server, and when they are refused. */
import {adapterKey} from "../types/fleet.js"
import {withheldForMs} from "./backend-list.js"
import {hasBackends, listRateLimitedServers} from "./box-choose.js"
import {listPossibleServers} from "./box-holders.js"
import {serviceUnavailableMs, listInBackoff} from "./server-notices.js"
import {addJitter, isTooLate, latestRetryMs, waitUntil} from "./caller-time.js"
import {failUnsent} from "./box-ends.js"
import {minSpeedOf} from "./box-long-answers.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {isOfVersion} from "./box-streams.js"

export function requestWeightsOrWait(
  box: BoxServing,
  request: BoxRequest,
  now: number
): void {
  const {weights, service, id, rank, tokens} = request.arrival
  const closedMs = serviceUnavailableMs(box, service, now)
  if (isTooLate(box, request, closedMs, now)) {
    return failUnsent(box, request, now, addJitter(box, closedMs))
  }
  if (!hasBackends(box, service)) return refuseIfNoServerComes(box, request, now)
  if (!weights || refuseIfLoadTooLate(box, request, now)) return
  if (request.weightsRequested) return
  const waitMs = Math.round(waitUntil(box, request, now) - now)
  request.weightsRequested = true
  box.effects.push({
    type: "need",
    need: {
      request: id,
      service,
      model: weights.model,
      adapter: weights.adapter,
      priority: rank,
      inTimeMs: waitMs,
      waitMs,
      tokens,
      software: request.software,
      minSpeed: minSpeedOf(box, request, now),
      // Servers in back-off or at their rate limit are no use, even with its weights.
      failedAt: [
        ...new Set([
          ...request.failedBackends,
          ...listInBackoff(box, now),
          ...listRateLimitedServers(box, request, now)
        ])
      ]
    }
  })
}

/**
 * Refuses a request whose service has no backend server, unless one is expected in time.
 * All boxes read the same list, so that the caller would find none elsewhere either.
 */
function refuseIfNoServerComes(box: BoxServing, request: BoxRequest, now: number): void {
  const {backends, serviceVersions} = box
  // Before the first list, nothing shows that there is no server.
  if (backends.known.size === 0 && !serviceVersions.hasList) return
  const serverInMs = withheldForMs(backends, request.arrival.service, now)
  if (!isTooLate(box, request, serverInMs, now)) return
  failUnsent(box, request, now, latestRetryMs(box, request, now))
}

/**
 * Refuses a request whose weights cannot arrive in time: neither by a load in progress, nor
 * by one that the leader, or the next one, has yet to order. Returns whether it did.
 */
function refuseIfLoadTooLate(box: BoxServing, request: BoxRequest, now: number): boolean {
  const orderMs = timeUntilOrdersMs(box, now)
  const readyInMs = loadDoneInMs(box, request, now) ?? orderMs + box.leastLoadMs
  if (!isTooLate(box, request, readyInMs, now)) return false
  failUnsent(box, request, now, orderMs > 0 ? addJitter(box, orderMs) : undefined)
  return true
}

/**
 * Returns the time until the first load in progress of the request's adapter is expected to
 * be done. Undefined if no engine loads it.
 */
function loadDoneInMs(
  box: BoxServing,
  request: BoxRequest,
  now: number
): number | undefined {
  const {service, weights} = request.arrival
  if (weights?.adapter === undefined) return undefined
  const key = adapterKey(weights.model, weights.adapter)
  let leastMs: number | undefined
  for (const record of listPossibleServers(box, service, key)) {
    const readyAt = box.engines.get(record.id)?.slots.get(key)?.readyAt ?? Infinity
    if (readyAt <= now || readyAt === Infinity || !isOfVersion(request, record)) continue
    leastMs = Math.min(leastMs ?? Infinity, readyAt - now)
  }
  return leastMs
}

/** Handles the leader's answer that it cannot provide the weights in time. */
export function handleWeightsRefusal(
  box: BoxServing,
  id: string,
  retryAfterMs: number,
  now: number
): void {
  const request = box.requests.get(id)
  if (!request || request.attempt || !request.weightsRequested) return
  request.weightsRequested = false
  failUnsent(box, request, now, retryAfterMs)
}

/** Returns the time until a leader can order loads. */
export function timeUntilOrdersMs(
  {hasLeader, ordersFrom, options: {handoverMs}}: BoxServing,
  now: number
): number {
  return Math.max(hasLeader ? 0 : handoverMs, ordersFrom - now)
}
