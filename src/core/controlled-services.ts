/** The services to which admission control applies. */
import type {Route} from "../types/fleet.js"
import {hasFewPlaces} from "./engine-load.js"
import type {RouteTable} from "./route-table.js"

/** A service whose engines have few places and whose routes differ in priority. */
export interface ControlledService {
  readonly name: string
  /** Requests that each of its engines runs at once. */
  readonly places: number
  /**
   * Priority of the least urgent kind of request, how long its callers stay without an
   * event, and the time limit of its answers.
   */
  readonly leastUrgentPriority: number
  readonly leastUrgentPatienceMs: number
  readonly leastUrgentTimeoutMs: number
  /** Whether the configuration has organisations, among which places are divided. */
  readonly dividesByOrganisation: boolean
}

const known = new WeakMap<RouteTable, ReadonlyMap<string, ControlledService>>()

/** Returns the services to which admission control applies, by name. */
export function listControlledServices(
  table: RouteTable
): ReadonlyMap<string, ControlledService> {
  const listed = known.get(table) ?? findControlledServices(table)
  known.set(table, listed)
  return listed
}

function findControlledServices(table: RouteTable): Map<string, ControlledService> {
  const found = new Map<string, ControlledService>()
  for (const {name, engine} of table.services.values()) {
    const routes = table.config.routes.filter(({services}) =>
      services.some(({service}) => service === name)
    )
    if (!hasFewPlaces(engine) || !haveSeveralPriorities(routes)) continue
    found.set(name, {
      name,
      places: engine.batch,
      ...describeLeastUrgent(routes),
      dividesByOrganisation: table.config.organisations.length > 0
    })
  }
  return found
}

function haveSeveralPriorities(routes: readonly Route[]): boolean {
  return new Set(routes.map(({priority}) => priority)).size > 1
}

function describeLeastUrgent(
  routes: readonly Route[]
): Pick<
  ControlledService,
  "leastUrgentPriority" | "leastUrgentPatienceMs" | "leastUrgentTimeoutMs"
> {
  const leastUrgentPriority = Math.max(...routes.map(({priority}) => priority))
  const least = routes.filter(({priority}) => priority === leastUrgentPriority)
  const leastUrgentPatienceMs = Math.min(...least.map(({patienceMs}) => patienceMs))
  const leastUrgentTimeoutMs = Math.min(...least.map(({timeoutMs}) => timeoutMs))
  return {leastUrgentPriority, leastUrgentPatienceMs, leastUrgentTimeoutMs}
}
