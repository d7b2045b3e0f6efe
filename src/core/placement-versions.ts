/** Replacing the older versions of adapters where they stand. */
import {chooseVictim, hasRoom, takesLoads, takesOrders} from "./placement-choose.js"
import {giveLoad, unload} from "./placement-orders.js"
import {type Fleet, type FleetEngine, heatOf, type Place} from "./placement-state.js"

/** An older version that is less in use, the heat of one use ten seconds ago, makes way without a newer one in its place. */
const COLD_HEAT = 0.5

/** Adapters in use whose newer version is named are replaced; others make way. */
export function renewVersions(fleet: Fleet, now: number): void {
  for (const [adapter, version] of fleet.versions) {
    for (const engine of fleet.engines.values()) {
      const place = engine.places.get(adapter)
      if (!place || place.version >= version || place.phase !== "ready") continue
      if (takesOrders(engine, now)) renewPlace(fleet, engine, adapter, place, now)
    }
  }
}

function renewPlace(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  place: Place,
  now: number
): void {
  const cold = heatOf(fleet, adapter, now) < COLD_HEAT
  if (cold && !fleet.index.awaited.has(adapter)) {
    if (place.running === 0) unload(fleet, engine, adapter, now)
    return
  }
  const limits = fleet.services.get(engine.service)?.engine
  if (!limits || !takesLoads(engine)) return
  // The new version takes a place of its own until the old one is gone.
  if (!hasRoom(engine, limits, adapter)) {
    return makeRoomBeside(fleet, engine, adapter, place, now)
  }
  const version = fleet.versions.get(adapter) ?? 0
  place.replaced = place.version
  place.version = version
  place.phase = "loading"
  place.orderedAt = now
  place.readyAt = now + fleet.storeLoadMs
  giveLoad(fleet, engine, adapter, version)
}

/**
 * Frees a place for the newer version of an adapter: its own, or while that is in use another's. A hot
 * adapter may be in use until boxes stop sending to the old version; the load that replaces it has the
 * engine turn away what waits for that, unrun.
 */
function makeRoomBeside(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  {running}: Place,
  now: number
): void {
  // What is being unloaded may wait for its runs; its place is the room.
  for (const {phase} of engine.places.values()) if (phase === "unloading") return
  const victim = running > 0 ? chooseVictim(fleet, engine, now) : adapter
  if (victim !== undefined) unload(fleet, engine, victim, now)
}
