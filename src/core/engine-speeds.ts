/**
 * Speed of each engine, learned from the pace of the streams that it has ended. Engines of
 * one service differ, and one can turn slower or faster at any time; an engine that is
 * assumed to be typical gets too many requests or too few.
 */
import type {StreamPace} from "../types/box-messages.js"

/** Streams with fewer events say little about the pace. */
export const MIN_PACED_EVENTS = 4

/**
 * Weight of a report in the average, for each of its events. A stream has some 40 events:
 * an engine that turns slower by two is followed after four streams, within 2 s, and one
 * stream alone changes its speed by a fifth of the difference.
 */
const WEIGHT_PER_EVENT = 0.006
const MAX_WEIGHT = 0.4

/**
 * Time between two events that a new leader assumes for an engine of typical speed. Only
 * the relation between engines counts.
 */
export const TYPICAL_EVENT_MS = 40

/** Bounds of a speed, so that a wrong report does not take an engine out of service. */
const MIN_SPEED = 0.3
const MAX_SPEED = 3

/** Bounds of a believable pace (ms per event). */
const MIN_EVENT_MS = 0.1
const MAX_EVENT_MS = 5_000

interface Paced {
  /** Average time between two events of a stream. Undefined if not known. */
  eventMs: number | undefined
}

/** Records the pace of streams that an engine has ended. Nonsense is ignored. */
export function recordPace(engine: Paced, {events, ms}: StreamPace): void {
  const eventMs = ms / events
  if (!(events > 0 && eventMs >= MIN_EVENT_MS && eventMs <= MAX_EVENT_MS)) return
  const weight = Math.min(MAX_WEIGHT, events * WEIGHT_PER_EVENT)
  const known = engine.eventMs ?? eventMs
  engine.eventMs = known + weight * (eventMs - known)
}

/** Returns the median time between two events, or undefined if no engine has one. */
export function medianEventMs(engines: Iterable<Paced>): number | undefined {
  const known = [...engines].flatMap(({eventMs}) => eventMs ?? [])
  known.sort((a, b) => a - b)
  return known[known.length >> 1]
}

/** Returns the speed of an engine as a part of the median engine's. */
export function speedOf({eventMs}: Paced, medianMs: number | undefined): number {
  if (eventMs === undefined || medianMs === undefined) return 1
  return Math.min(MAX_SPEED, Math.max(MIN_SPEED, medianMs / eventMs))
}

export function speedToPercent(speed: number): number {
  return Math.round(speed * 100)
}

/** Converts a speed as sent in updates. Without a valid one the engine is typical. */
export function percentToSpeed(percent: number | undefined): number {
  if (percent === undefined || !(percent > 0)) return 1
  return Math.min(MAX_SPEED, Math.max(MIN_SPEED, percent / 100))
}
