/**
 * How long an engine takes to load an adapter: learned from loads that were late and from
 * those that were not. Boxes send waiting requests when a load is expected to be done.
 */
import type {Fleet, Slot} from "./placement-state.js"

/**
 * With these factors the expected load time settles where one load in five is late. A
 * late load costs its request a refusal and 60 ms, whereas an expectation that is too
 * long delays every request that waits for a load. With 21 boxes and 17 engines whose
 * loads take 250 ms, the median wait for a load fell from 431 ms with two late loads in a
 * hundred to 272 ms.
 */
const LATE_FACTOR = 1.08
const IN_TIME_FACTOR = 0.98

/**
 * Part of the difference by which a load that was done sooner than expected lowers the
 * expectation. Engines that refuse requests for a while look as if their loads were late;
 * afterwards, in-time loads alone would need some 40 loads to halve the expectation.
 */
const SOONER_SHARE = 0.25

/**
 * A load that was done within this part of the expected time came sooner than expected.
 * Reports that come a little early say nothing: if they lowered the expectation, it would
 * settle where requests are refused so often that their retries exceed the budget.
 */
const SOON_PART = 0.75

const STORE_BOUNDS_MS = {least: 100, most: 1_500}
const CACHE_BOUNDS_MS = {least: 20, most: 300}

/** Records that a request found the weights of a load not ready yet. */
export function recordLateLoad(fleet: Fleet, slot: Slot): void {
  scaleLoadTime(fleet, slot, LATE_FACTOR)
}

/** Records that an engine's report shows a load as done. */
export function recordLoad(fleet: Fleet, slot: Slot, now: number): void {
  if (slot.readyAt <= now) return scaleLoadTime(fleet, slot, IN_TIME_FACTOR)
  const tookMs = now - slot.orderedAt
  const expectedMs = expectedLoadMs(fleet, slot)
  if (slot.missedCache || tookMs > SOON_PART * expectedMs) return
  setLoadTime(fleet, slot, expectedMs - SOONER_SHARE * (expectedMs - tookMs))
}

/** Returns how long a load is expected to take (ms). */
export function expectedLoadMs(
  fleet: Fleet,
  {fromCache}: Pick<Slot, "fromCache">
): number {
  return fromCache ? fleet.cacheLoadMs : fleet.storeLoadMs
}

function scaleLoadTime(fleet: Fleet, slot: Slot, factor: number): void {
  setLoadTime(fleet, slot, expectedLoadMs(fleet, slot) * factor)
}

function setLoadTime(fleet: Fleet, {fromCache}: Slot, ms: number): void {
  const {least, most} = fromCache ? CACHE_BOUNDS_MS : STORE_BOUNDS_MS
  const bounded = Math.min(most, Math.max(least, ms))
  if (fromCache) fleet.cacheLoadMs = bounded
  else fleet.storeLoadMs = bounded
}
