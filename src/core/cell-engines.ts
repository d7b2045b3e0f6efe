/** The engines of a cell, from the configuration and the platform's box list. */
import {type CellDraft, type Engine, updateEngine} from "./cell-state.js"

/** Adds, updates and removes engines to match the configuration and the box list. */
export function syncEngines(
  draft: CellDraft,
  servers: ReadonlyMap<string, Engine["server"]>,
  leavingServers: ReadonlySet<string>
): void {
  for (const id of [...draft.engines.keys()])
    if (!servers.has(id)) draft.engines.delete(id)
  for (const [id, server] of servers) {
    const known = draft.engines.get(id)
    const leaving = leavingServers.has(id) || (known?.reportedLeaving ?? false)
    if (known) updateEngine(draft, id, {server, leaving})
    else draft.engines.set(id, createEngine(server, leaving))
  }
}

function createEngine(server: Engine["server"], leaving: boolean): Engine {
  return {
    server,
    leaving,
    reportedLeaving: false,
    avoidUntil: 0,
    listed: false,
    listPending: false,
    nextListAt: 0,
    adapters: new Map(),
    cancelling: new Set(),
    cancelled: new Set(),
    foreign: 0,
    peakRunning: 0,
    cacheSeq: 0,
    prefixes: new Set()
  }
}
