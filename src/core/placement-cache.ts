/**
 * How many adapters the host of an engine caches, besides those in slots. A load of cached
 * weights takes a tenth of the time and no bandwidth of the weight store, so an engine
 * whose host has them is preferred. Hosts do not report the number; it is learned from
 * loads that should have been fast and were not.
 */
import type {EngineLimits} from "../types/fleet.js"
import {hasFewPlaces} from "./engine-load.js"
import type {Fleet} from "./placement-state.js"

/** Adapters that a host is assumed to cache if nothing else is known. */
const DEFAULT_CACHED_ADAPTERS = 34

/** First assumption for engines with few places, as a multiple of their slots. */
const CACHED_PER_SLOT = 6

/**
 * Changes of the estimate with each load of weights that were expected in the cache. It
 * settles where one in ten is not there: such a load costs its request some 200 ms, and a
 * cached load that was not tried costs another one from the store.
 */
const MISS_FACTOR = 0.97
const HIT_FACTOR = 1.0033

/** Upper bound, as a multiple of the first assumption. */
const MAX_GROWTH = 2

function firstAssumption(limits: EngineLimits | undefined): number {
  return hasFewPlaces(limits)
    ? Math.max(DEFAULT_CACHED_ADAPTERS, CACHED_PER_SLOT * limits.maxAdapters)
    : DEFAULT_CACHED_ADAPTERS
}

/** Returns the most adapters that a box remembers for an engine of this service. */
export function mostCachedAdapters(limits: EngineLimits | undefined): number {
  return firstAssumption(limits)
}

/** Returns the number of adapters that a host of the service is assumed to cache. */
export function cachedAdaptersOf(fleet: Fleet, service: string): number {
  const limits = fleet.services.get(service)?.engine
  const first = firstAssumption(limits)
  // Loads at engines with few places say nothing about the hosts of others.
  return hasFewPlaces(limits) ? Math.round(first * fleet.cacheScale) : first
}

/** Records whether weights that were expected in a host's cache were there. */
export function recordCachedLoad(fleet: Fleet, service: string, hit: boolean): void {
  const limits = fleet.services.get(service)?.engine
  if (!hasFewPlaces(limits)) return
  const scale = fleet.cacheScale * (hit ? HIT_FACTOR : MISS_FACTOR)
  const least = limits.maxAdapters / firstAssumption(limits)
  fleet.cacheScale = Math.min(MAX_GROWTH, Math.max(least, scale))
}
