/**
 * When a request would start at an engine with few places: after the prompts that wait
 * there have been prefilled at the engine's own rate, and once a place is free.
 */
import type {EngineLimits} from "../types/fleet.js"

/**
 * Engines with at least this many places are limited by their prefill rate alone. One that
 * prefills 20 tokens per millisecond starts some 20 requests of 1,000 tokens a second; at
 * 2 s each they take 40 places.
 */
const MANY_PLACES = 64

/** Whether the places of an engine can be the limit of what it takes. */
export function hasFewPlaces(limits: EngineLimits | undefined): limits is EngineLimits {
  return limits !== undefined && limits.batch > 0 && limits.batch < MANY_PLACES
}

/** Average time that a request holds a place of a typical engine. */
const PLACE_MS = 1_500

/**
 * Delay of the first token at an engine whose places are all taken but one, compared with
 * an empty one: each step takes longer, and prompts are prefilled between the steps.
 */
const CROWDED_MS = 250

export interface EngineLoad {
  /** Prompt tokens that wait for prefill. */
  readonly waitingTokens: number
  /** Requests in progress, including those that wait for a place. */
  readonly running: number
  /** Speed as a part of a typical engine's. */
  readonly speed: number
}

/**
 * Estimates the time until a request could start.
 *
 * @param places - Requests that the engine runs at once.
 * @param tokensPerMs - Prefill rate of a typical engine.
 */
export function estimateStartMs(
  {waitingTokens, running, speed}: EngineLoad,
  places: number,
  tokensPerMs: number
): number {
  const prefillMs = waitingTokens / (tokensPerMs * speed)
  const queued = running - places + 1
  const placeMs = queued > 0 ? (queued * PLACE_MS) / (places * speed) : 0
  const crowdedMs = (CROWDED_MS * Math.min(1, running / places)) / speed
  return Math.max(prefillMs, placeMs) + crowdedMs
}

/** Time between two events of a stream at a typical engine without a prefill. */
const EVENT_MS = 40

/**
 * Part of a route's longest pause that a stall may take. Engines differ from moment to
 * moment, by more than two for half a second, and the slow moments decide.
 */
const STALL_SHARE = 0.4

/** How much longer a delay of this request is preferred to a stall of the streams there. */
const STALL_COST = 3

/** A request that is to be sent to an engine. */
export interface RequestLoad {
  /** Prompt tokens. */
  readonly tokens: number
  /** Longest pause between events that is in time (ms). 0 means no target. */
  readonly gapTargetMs: number
}

/**
 * Estimates what a request costs the streams that run at an engine, as a delay of the
 * request (ms): no events are made while its prompt is prefilled, and the readers of all of
 * them wait. `gapTargetMs` is the pause that the operator finds too long for them. It only
 * chooses among engines that can take the request; none is refused or held for it.
 * Prompts that wait already delay the start; counted here, too, they would keep places free
 * while requests are refused.
 */
export function estimateStallCostMs(
  {speed}: EngineLoad,
  {tokens, gapTargetMs}: RequestLoad,
  tokensPerMs: number
): number {
  if (gapTargetMs <= 0) return 0
  const pauseMs = tokens / (tokensPerMs * speed) + EVENT_MS / speed
  return STALL_COST * Math.max(0, pauseMs - STALL_SHARE * gapTargetMs)
}
