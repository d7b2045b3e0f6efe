/**
 * How fast the engines of a fleet read prompts, learned where work always waited: only then do the
 * tokens read in a span tell what an engine can do. Limits on waiting work are given as time, and
 * mean the same on engines of any speed.
 */
import type {Fleet, FleetEngine} from "./placement-state.js"

/** Before any engine was busy for a whole span: a middling engine of today, tokens a millisecond. */
export const FIRST_RATE = 20

/** What is read is counted over this time: several turns in which boxes tell of it, milliseconds. */
const SPAN_MS = 1_000

/** An engine with less waiting work at an end of the span may have been idle within it, tokens. */
const BUSY_TOKENS = 4_000

/** Weight of the newest span against what was learned before. */
const NEWEST = 0.2

/** What an engine has read since a moment. */
export interface ReadSpan {
  since: number
  tokens: number
  /** Work waited at its start. */
  busy: boolean
}

/** Tokens a millisecond that an engine reads, as far as is known. */
export interface ReadingRate {
  tokensPerMs: number
}

export function createReadingRate(): ReadingRate {
  return {tokensPerMs: FIRST_RATE}
}

/** Notes prompt tokens that an engine has read. */
export function noteRead(
  {reading}: Fleet,
  engine: FleetEngine,
  tokens: number,
  now: number
): void {
  const {read} = engine
  read.tokens += tokens
  const spanMs = now - read.since
  if (spanMs < SPAN_MS) return
  const busy = engine.load > BUSY_TOKENS
  if (read.busy && busy && spanMs < 2 * SPAN_MS) {
    reading.tokensPerMs += NEWEST * (read.tokens / spanMs - reading.tokensPerMs)
  }
  engine.read = {since: now, tokens: 0, busy}
}

/** Tokens that an engine reads in so many milliseconds. */
export function tokensIn({reading}: Fleet, ms: number): number {
  return reading.tokensPerMs * ms
}
