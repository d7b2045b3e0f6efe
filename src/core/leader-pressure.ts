/** Passes events of the leader to the levels of pressure, and sends them to boxes. */
import type {EngineUseDelta} from "../types/box-messages.js"
import {listControlledServices} from "./controlled-services.js"
import type {Fleet} from "./placement-state.js"
import type {RouteTable} from "./route-table.js"
import type {PressureChange, ServicePressure} from "./service-pressure.js"

/** Counts the requests that ended at engines. */
export function recordEndedUses(
  pressure: ServicePressure,
  fleet: Fleet,
  changes: readonly EngineUseDelta[]
): void {
  for (const {engine, ended} of changes) {
    const service = fleet.engines.get(engine)?.service
    if (service !== undefined) pressure.recordEnded(service, ended)
  }
}

/** Computes the levels that are due and queues those that boxes have to receive. */
export function sendPressure(
  pressure: ServicePressure,
  fleet: Fleet,
  table: RouteTable,
  now: number
): void {
  const services = pressure.update(fleet, listControlledServices(table), now)
  if (services) fleet.effects.push({type: "pressure", services})
  for (const change of pressure.changes.splice(0)) logChange(fleet, change)
}

function logChange(fleet: Fleet, {service, level, use, waitMs}: PressureChange): void {
  const {places, free, queued} = use
  if (!level) {
    const fields = {service, places, free, queued}
    fleet.effects.push({type: "note", event: "service-relieved", fields})
    return
  }
  const {rank, fraction, roomInMs, organisations = []} = level
  fleet.effects.push({
    type: "note",
    event: "service-short",
    fields: {
      service,
      rank,
      fraction,
      roomInMs,
      places,
      queued,
      waitMs,
      organisations: organisations.map(([name]) => name).join()
    }
  })
}
