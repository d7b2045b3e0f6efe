/**
 * The prefill rate of a fleet's engines, estimated while work was always waiting: only
 * then does the number of prefilled tokens show the speed of an engine. Limits on waiting
 * work are given as time, so that they mean the same on engines of any speed.
 */
import type {Fleet, FleetEngine} from "./placement-state.js"

/**
 * Prefill rate (tokens per millisecond) of a typical engine, used until one was busy for
 * a whole span.
 */
export const INITIAL_PREFILL_RATE = 20

/** Length of a span: several intervals at which boxes report prefilled tokens. */
const SPAN_MS = 1_000

/**
 * An engine with less waiting work at either end of a span may have been idle within it.
 */
const MIN_BUSY_TOKENS = 4_000

/** Weight of the newest span in the estimate. */
const NEWEST_WEIGHT = 0.2

/** Tokens that an engine prefilled since a time. */
export interface PrefillSpan {
  since: number
  tokens: number
  /** Whether the engine had waiting work at the start. */
  busy: boolean
}

/** Estimated prefill rate of an engine. */
export interface PrefillRate {
  tokensPerMs: number
}

export function createPrefillRate(): PrefillRate {
  return {tokensPerMs: INITIAL_PREFILL_RATE}
}

/** Records prompt tokens that an engine prefilled. */
export function recordPrefill(
  {prefillRate: reading}: Fleet,
  engine: FleetEngine,
  tokens: number,
  now: number
): void {
  const {prefill: read} = engine
  read.tokens += tokens
  const spanMs = now - read.since
  if (spanMs < SPAN_MS) return
  const busy = engine.queuedTokens > MIN_BUSY_TOKENS
  if (read.busy && busy && spanMs < 2 * SPAN_MS) {
    reading.tokensPerMs += NEWEST_WEIGHT * (read.tokens / spanMs - reading.tokensPerMs)
  }
  engine.prefill = {since: now, tokens: 0, busy}
}

/** Returns the number of tokens that an engine prefills in `ms`. */
export function prefillTokensIn({prefillRate: reading}: Fleet, ms: number): number {
  return reading.tokensPerMs * ms
}
