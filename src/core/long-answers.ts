/**
 * Answers that are too long for a slow engine. An engine of 0.6 of the usual speed makes
 * 600 tokens in some 13 s: a caller who waits for 12 s loses the answer shortly before its
 * end, after the engine has done nearly all of the work.
 */

/** Time of an output token at a typical engine without other work. */
const TOKEN_MS = 10

/** How much longer a token takes while other streams run and prompts are prefilled. */
const CROWDED_FACTOR = 1.3

/**
 * Part of the caller's time that an answer may take. Callers guess lengths rightly in the
 * median only: one answer in twenty is over twice as long as guessed.
 */
const TIME_SHARE = 0.5

/** What a request needs of an engine to be answered in time. */
export interface AnswerLength {
  /** Estimated output tokens. Undefined if the caller told none. */
  readonly outputTokens: number | undefined
  /** Time that is left to the caller (ms). */
  readonly leftMs: number
}

/** Returns how far an answer exceeds its part of the caller's time (ms). 0 if it does not. */
export function overrunMs({outputTokens, leftMs}: AnswerLength, speed: number): number {
  if (outputTokens === undefined) return 0
  const runMs = (outputTokens * TOKEN_MS * CROWDED_FACTOR) / speed
  return Math.max(0, runMs - TIME_SHARE * leftMs)
}

/**
 * Returns the least speed at which an answer keeps to its part of the caller's time.
 * Undefined if any speed up to `fastest` does, or none does.
 */
export function leastSpeed(answer: AnswerLength, fastest: number): number | undefined {
  if (answer.outputTokens === undefined || answer.leftMs <= 0) return undefined
  const runMs = answer.outputTokens * TOKEN_MS * CROWDED_FACTOR
  const least = runMs / (TIME_SHARE * answer.leftMs)
  return least <= fastest ? least : undefined
}
