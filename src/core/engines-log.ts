/**
 * The leader's regular log line about the engines of each service under admission control:
 * their taken places, speeds and queues, and the requests that wait for weights.
 */
import type {ControlledService} from "./controlled-services.js"
import {speedOf, speedToPercent} from "./engine-speeds.js"
import type {Fleet} from "./placement-state.js"

/** Interval of the lines. With 100 engines a line takes some 3 KB. */
const INTERVAL_MS = 5_000

/** Most engines in a line; `listed` and `of` show that some are left out. */
const MAX_LISTED = 256

/** Logs the engines of each service if that is due. */
export function logEngines(
  fleet: Fleet,
  services: ReadonlyMap<string, ControlledService>,
  now: number
): void {
  if (now - fleet.enginesLoggedAt < INTERVAL_MS) return
  fleet.enginesLoggedAt = now
  for (const service of services.values()) logService(fleet, service)
}

function logService(fleet: Fleet, {name, places}: ControlledService): void {
  const engines = [...fleet.engines.values()].filter(({service}) => service === name)
  const listed = engines.slice(0, MAX_LISTED).map(engine => {
    const speed = speedToPercent(speedOf(engine, fleet.index.medianEventMs))
    return [engine.id, engine.running, speed, Math.round(engine.queuedTokens)].join(" ")
  })
  let waiting = 0
  for (const {weightsRequest} of fleet.waitingRequests.values()) {
    if (weightsRequest.service === name) waiting++
  }
  fleet.effects.push({
    type: "note",
    event: "service-engines",
    fields: {
      service: name,
      places,
      engines: listed.join(),
      listed: listed.length,
      of: engines.length,
      waiting
    }
  })
}
