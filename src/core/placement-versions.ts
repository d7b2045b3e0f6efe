/** Replaces older versions of adapters on engines. */
import {chooseVictim, hasRoom, takesLoads, takesOrders} from "./placement-choose.js"
import {giveLoad, unload} from "./placement-orders.js"
import {type Fleet, type FleetEngine, heatOf, type Place} from "./placement-state.js"

/** Older versions below this popularity (one use 10 s ago) are unloaded, not replaced. */
const MIN_POPULARITY_TO_REPLACE = 0.5

/** Replaces older versions of popular or requested adapters, and unloads the others. */
export function renewVersions(fleet: Fleet, now: number): void {
  for (const [adapter, version] of fleet.versions) {
    for (const engine of fleet.engines.values()) {
      const slot = engine.places.get(adapter)
      if (!slot || slot.version >= version || slot.phase !== "ready") continue
      if (takesOrders(engine, now)) replaceOldVersion(fleet, engine, adapter, slot, now)
    }
  }
}

function replaceOldVersion(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  slot: Place,
  now: number
): void {
  const isUnpopular = heatOf(fleet, adapter, now) < MIN_POPULARITY_TO_REPLACE
  if (isUnpopular && !fleet.index.awaited.has(adapter)) {
    if (slot.running === 0) unload(fleet, engine, adapter, now)
    return
  }
  const limits = fleet.services.get(engine.service)?.engine
  if (!limits || !takesLoads(engine)) return
  // The new version needs a slot of its own until the old one is unloaded.
  if (!hasRoom(engine, limits, adapter)) {
    return freeSlotForNewVersion(fleet, engine, adapter, slot, now)
  }
  const version = fleet.versions.get(adapter) ?? 0
  slot.replaced = slot.version
  slot.version = version
  slot.phase = "loading"
  slot.orderedAt = now
  slot.readyAt = now + fleet.storeLoadMs
  giveLoad(fleet, engine, adapter, version)
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
  {running}: Place,
  now: number
): void {
  // A slot that is being unloaded becomes free once its running requests end.
  for (const {phase} of engine.places.values()) if (phase === "unloading") return
  const victim = running > 0 ? chooseVictim(fleet, engine, now) : adapter
  if (victim !== undefined) unload(fleet, engine, victim, now)
}
