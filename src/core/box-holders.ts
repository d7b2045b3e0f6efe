/**
 * Indexes of the servers that may take a request: those of each service, and the engines
 * that hold each adapter. Without them, each choice looks at every server, and waiting
 * requests are chosen for again at each tick: with 22 boxes and 10 engines that was a
 * quarter of the processor time of a box.
 */
import type {BackendRecord} from "../types/fleet.js"
import type {BackendList} from "./backend-list.js"
import type {BoxServing} from "./box-state.js"

/** The servers of a service that are not leaving. */
interface ServiceServers {
  readonly records: readonly BackendRecord[]
  /** Position of each server in `records`. */
  readonly positions: ReadonlyMap<string, number>
  /** Servers whose engines neither the leader nor a report has described. */
  readonly undescribed: readonly BackendRecord[]
}

export interface HolderIndex {
  /** The list of servers for which `services` was built. */
  backends: BackendList | undefined
  readonly services: Map<string, ServiceServers>
  /**
   * Engines that may hold each adapter. Entries of engines that no longer do are removed
   * when they are found.
   */
  readonly holders: Map<string, Set<string>>
}

export function createHolderIndex(): HolderIndex {
  return {backends: undefined, services: new Map(), holders: new Map()}
}

/** Records that an engine holds or loads an adapter. */
export function recordHolding(
  {holderIndex: {holders}}: BoxServing,
  engine: string,
  adapter: string
): void {
  const known = holders.get(adapter)
  if (known) known.add(engine)
  else holders.set(adapter, new Set([engine]))
}

/** Must be called when an engine is described for the first time, or is removed. */
export function resetServiceIndex({holderIndex}: BoxServing): void {
  holderIndex.backends = undefined
}

/**
 * Lists the servers of a service that may take a request for an adapter, in the order of
 * the list of servers. Without an adapter all servers of the service may.
 */
export function listPossibleServers(
  box: BoxServing,
  service: string,
  adapter: string | undefined
): readonly BackendRecord[] {
  const {records, positions, undescribed} = serversOf(box, service)
  if (adapter === undefined) return records
  const found: number[] = []
  for (const engine of removeFormerHolders(box, adapter)) {
    const position = positions.get(engine)
    if (position !== undefined) found.push(position)
  }
  for (const {id} of undescribed) found.push(positions.get(id) ?? 0)
  found.sort((a, b) => a - b)
  return found.map(position => records[position] as BackendRecord)
}

const NO_HOLDERS: ReadonlySet<string> = new Set()

/** Returns the engines that hold or load an adapter, without those that no longer do. */
function removeFormerHolders(box: BoxServing, adapter: string): ReadonlySet<string> {
  const {holders} = box.holderIndex
  const engines = holders.get(adapter)
  if (!engines) return NO_HOLDERS
  for (const engine of engines) {
    if (!box.engines.get(engine)?.slots.has(adapter)) engines.delete(engine)
  }
  if (engines.size === 0) holders.delete(adapter)
  return engines
}

function serversOf(box: BoxServing, service: string): ServiceServers {
  const {holderIndex} = box
  if (holderIndex.backends !== box.backends) {
    holderIndex.backends = box.backends
    holderIndex.services.clear()
  }
  const known = holderIndex.services.get(service)
  if (known) return known
  const built = buildServers(box, service)
  holderIndex.services.set(service, built)
  return built
}

function buildServers(box: BoxServing, service: string): ServiceServers {
  const records: BackendRecord[] = []
  for (const {record} of box.backends.known.values()) {
    if (record.service === service && !record.leaving) records.push(record)
  }
  return {
    records,
    positions: new Map(records.map(({id}, position) => [id, position])),
    undescribed: records.filter(({id}) => !box.engines.has(id))
  }
}
