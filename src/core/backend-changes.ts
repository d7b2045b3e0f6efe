/** What differs between two lists of backend servers: lives that ended, and servers that requests may be sent to. */
import {type BackendList, indexServers, isUsable} from "./backend-list.js"

/** A life that is over, since its server started again. */
export interface EndedLife {
  readonly id: string
  /** The life that followed. */
  readonly next: string
}

/** The lives of one list whose servers are in another life in the next. */
export function listEndedLives(before: BackendList, after: BackendList): EndedLife[] {
  if (before.known === after.known) return []
  const servers = indexServers(after)
  return [...before.known.values()].flatMap(({record}) => {
    const next = servers.get(record.server)?.record.id
    return next === undefined || next === record.id ? [] : [{id: record.id, next}]
  })
}

/** Backend servers whose usability differs between two lists. */
export interface UsableChange {
  readonly backend: string
  readonly usable: boolean
}

/** What became usable or stopped being so from one list to the next. */
export function diffUsable(before: BackendList, after: BackendList): UsableChange[] {
  if (before.known === after.known) return []
  const changes: UsableChange[] = []
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
