/**
 * Who is refused early: a request whose weights will not come in time does better to come back than
 * to wait, and what can still be in time gets the places meanwhile.
 */
import {adapterKey} from "../types/fleet.js"
import {type Fleet, LOADS_WINDOW_MS} from "./placement-state.js"

/** A request waits at least so long, milliseconds: a place may become free at once. */
const LEAST_WAIT_MS = 100

/** Past this part of its time to be in time it is not refused early any more: it has waited. */
const EARLY_SHARE = 0.22

/** Loads a second that an engine is believed to make room for at least. */
const LEAST_RATE = 1

/** Bounds of when callers are told to come back, milliseconds. */
const MIN_RETRY_MS = 400
const MAX_RETRY_MS = 1_500

/** Refuses what waits behind more adapters than can be loaded while it could be in time. */
export function refuseHopeless(
  fleet: Fleet,
  unplaced: readonly {readonly adapter: string}[],
  now: number
): void {
  const perSecond = loadsPerSecond(fleet, now)
  const rank = new Map(unplaced.map(({adapter}, index) => [adapter, index + 1]))
  for (const [key, {box, need, since}] of fleet.waiting) {
    if (need.adapter === undefined || !need.mayReturn) continue
    const waited = now - since
    if (waited < LEAST_WAIT_MS || waited > need.inTimeMs * EARLY_SHARE) continue
    const ahead = rank.get(adapterKey(need.model, need.adapter))
    if (ahead === undefined) continue
    const waitMs = (ahead / perSecond) * 1000
    if (waited + waitMs + fleet.storeLoadMs < need.inTimeMs) continue
    fleet.waiting.delete(key)
    const retryAfterMs = Math.round(
      Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs))
    )
    fleet.effects.push({type: "refuse", box, request: need.request, retryAfterMs})
  }
}

/** How many adapters a second find a place, by what was seen lately. */
function loadsPerSecond(fleet: Fleet, now: number): number {
  const seen = (fleet.loads.count(now) * 1000) / LOADS_WINDOW_MS
  return Math.max(seen, LEAST_RATE * fleet.engines.size, LEAST_RATE)
}
