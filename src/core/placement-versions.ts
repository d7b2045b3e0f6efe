/** Replaces older versions of adapters on engines. */
import {chooseVictim, hasRoom, canStartLoad, isReadyForOrder} from "./placement-choose.js"
import {holdersOf} from "./placement-index.js"
import {orderLoad, orderUnload} from "./placement-orders.js"
import {type Fleet, type FleetEngine, popularityOf, type Slot} from "./placement-state.js"

/** Older versions below this popularity (one use 10 s ago) are unloaded, not replaced. */
const MIN_POPULARITY_TO_REPLACE = 0.5

/** Replaces older versions of popular or requested adapters, and unloads the others. */
export function replaceOldVersions(fleet: Fleet, now: number): void {
  for (const [adapter, version] of fleet.newestVersions) {
    for (const engine of holdersOf(fleet, adapter)) {
      const slot = engine.slots.get(adapter)
      if (!slot || slot.version >= version || slot.phase !== "ready") continue
      if (isReadyForOrder(engine, now))
        replaceOldVersion(fleet, engine, adapter, slot, now)
    }
  }
}

function replaceOldVersion(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  slot: Slot,
  now: number
): void {
  const isUnpopular = popularityOf(fleet, adapter, now) < MIN_POPULARITY_TO_REPLACE
  if (isUnpopular && !fleet.index.requestedAdapters.has(adapter)) {
    if (slot.running === 0) orderUnload(fleet, engine, adapter, now)
    return
  }
  const limits = fleet.services.get(engine.service)?.engine
  if (!limits || !canStartLoad(engine)) return
  // The new version needs a slot of its own until the old one is unloaded.
  if (!hasRoom(engine, limits, adapter)) {
    return freeSlotForNewVersion(fleet, engine, adapter, slot, now)
  }
  const version = fleet.newestVersions.get(adapter) ?? 0
  slot.replacedVersion = slot.version
  slot.version = version
  slot.phase = "loading"
  slot.isOwnLoad = true
  // The host's cache holds the old version.
  slot.fromCache = false
  slot.missedCache = false
  slot.orderedAt = now
  slot.readyAt = now + fleet.storeLoadMs
  orderLoad(fleet, engine, adapter, version)
}

/**
 * Frees a slot for the newer version of an adapter: its own, or another adapter's while
 * its own is in use. A popular adapter may be in use for as long as boxes send requests
 * for the old version. When the new version loads, the engine rejects waiting requests
 * for the old one without running them.
 */
function freeSlotForNewVersion(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  {running}: Slot,
  now: number
): void {
  // A slot that is being unloaded becomes free once its running requests end.
  for (const {phase} of engine.slots.values()) if (phase === "unloading") return
  const victim = running > 0 ? chooseVictim(fleet, engine, now) : adapter
  if (victim !== undefined) orderUnload(fleet, engine, victim, now)
}
