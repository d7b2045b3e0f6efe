/** Compares two lists of backend servers: ended incarnations, and usability. */
import {type BackendList, indexByServer, isUsable} from "./backend-list.js"

/** An incarnation that ended, since its server started again. */
export interface EndedIncarnation {
  readonly id: string
  /** The incarnation that followed. */
  readonly next: string
}

/** Incarnations in `before` whose servers have another incarnation in `after`. */
export function listEndedIncarnations(
  before: BackendList,
  after: BackendList
): EndedIncarnation[] {
  if (before.known === after.known) return []
  const servers = indexByServer(after)
  return [...before.known.values()].flatMap(({record}) => {
    const next = servers.get(record.server)?.record.id
    return next === undefined || next === record.id ? [] : [{id: record.id, next}]
  })
}

export interface UsabilityChange {
  readonly backend: string
  readonly usable: boolean
}

/** Backend servers whose usability differs between two lists. */
export function diffUsability(
  before: BackendList,
  after: BackendList
): UsabilityChange[] {
  if (before.known === after.known) return []
  const changes: UsabilityChange[] = []
  for (const backend of after.known.keys()) {
    if (isUsable(after, backend) && !isUsable(before, backend)) {
      changes.push({backend, usable: true})
    }
  }
  for (const backend of before.known.keys()) {
    if (isUsable(before, backend) && !isUsable(after, backend)) {
      changes.push({backend, usable: false})
    }
  }
  return changes
}
