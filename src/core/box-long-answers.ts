/** Long answers of a box: which engines are too slow for them, and what is done then. */
import type {BackendRecord, EngineLimits} from "../types/fleet.js"
import {engineViewOf} from "./box-engines.js"
import {timeUntilOrdersMs} from "./box-waits.js"
import {isTooLate} from "./caller-time.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {hasFewPlaces} from "./engine-load.js"
import {speedToPercent} from "./engine-speeds.js"
import {leastSpeed, overrunMs, type AnswerLength} from "./long-answers.js"

/**
 * How long a long answer waits for its weights on a faster engine. A load takes some 300 ms
 * and has to wait for others at times.
 */
const FASTER_WAIT_MS = 700

export function answerLengthOf(
  {arrival: {outputTokens}, deadlineAt}: BoxRequest,
  now: number
): AnswerLength {
  return {outputTokens, leftMs: deadlineAt - now}
}

/**
 * Whether the request waits for a faster engine than the best that holds its adapter now,
 * as its answer would take too long there. It waits once, and only if the leader can load
 * the adapter elsewhere.
 */
export function waitForFasterEngine(
  box: BoxServing,
  request: BoxRequest,
  backend: BackendRecord,
  now: number
): boolean {
  if (!hasFewPlaces(limitsOf(box, request))) return false
  const {fasterUntil} = request
  if (fasterUntil !== undefined && now >= fasterUntil) return false
  if (request.arrival.weights?.adapter === undefined || !box.hasLeader) return false
  const length = answerLengthOf(request, now)
  if (overrunMs(length, engineViewOf(box, backend).speed) === 0) return false
  if (leastSpeed(length, fastestSpeed(box, request)) === undefined) return false
  const loadedInMs = timeUntilOrdersMs(box, now) + box.leastLoadMs
  if (isTooLate(box, request, loadedInMs, now)) return false
  request.fasterUntil ??= now + FASTER_WAIT_MS
  return true
}

/**
 * Least speed of the engine that the request asks the leader for, as a percentage.
 * Undefined if any will do.
 */
export function minSpeedOf(
  box: BoxServing,
  request: BoxRequest,
  now: number
): number | undefined {
  if (!hasFewPlaces(limitsOf(box, request))) return undefined
  const fastest = fastestSpeed(box, request)
  const least = leastSpeed(answerLengthOf(request, now), fastest)
  return least === undefined ? undefined : speedToPercent(least)
}

function limitsOf(box: BoxServing, {arrival}: BoxRequest): EngineLimits | undefined {
  return box.table?.services.get(arrival.service)?.engine
}

function fastestSpeed(box: BoxServing, {arrival: {service}}: BoxRequest): number {
  let fastest = 1
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    fastest = Math.max(fastest, box.engines.get(record.id)?.speed ?? 1)
  }
  return fastest
}
