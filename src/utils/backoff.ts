/**
 * Exponential backoff with jitter, so that processes do not all retry at the same time
 * when an outage ends.
 */
import {randomInt} from "node:crypto"

const JITTER_STEPS = 1_000

/** Doubles the pause with each failure, and returns a random part from half to all. */
export function backoffMs(failures: number, firstMs: number, maxMs: number): number {
  const fullMs = Math.min(maxMs, firstMs * 2 ** Math.max(0, failures - 1))
  return fullMs * (0.5 + randomInt(JITTER_STEPS) / (2 * JITTER_STEPS))
}
