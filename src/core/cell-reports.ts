/**
 * Load and prefix cache reports of engines. Both are delayed, and cache events may have
 * gaps, so they only rank engines; no safety rule depends on them.
 */
import {type CellDraft, type Engine, updateEngine} from "./cell-state.js"
import {countWhere} from "../utils/collections.js"

/** Requests on an engine from all senders, as it reports them. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
}

/** A prefix was cached or evicted; the key is the one sent with requests. */
export interface CacheEvent {
  readonly seq: number
  readonly prefix: string
  readonly stored: boolean
}

/** Events after the sequence number in the list order that the engine still has. */
export interface CacheReport {
  readonly last: number
  readonly events: readonly CacheEvent[]
}

/** Maximum of remembered prefixes per engine; the oldest are dropped first. */
const MAX_PREFIXES = 1_024

/** Applies the reports that came with an engine's list of adapters. */
export function applyReports(
  draft: CellDraft,
  id: string,
  load: LoadReport | undefined,
  cache: CacheReport | undefined
): void {
  const engine = draft.engines.get(id)
  if (!engine) return
  const own = countRunningOn(draft, id)
  const reported = load ? load.running + load.waiting : 0
  // The report was taken at some time since the last one, so the cell's own requests are
  // counted at their peak since then.
  const foreign = Math.max(0, reported - Math.max(own, engine.peakRunning))
  updateEngine(draft, id, {foreign, peakRunning: own, ...applyCacheReport(engine, cache)})
}

/** Counts the running requests of the cell on an engine. */
export function countRunningOn(draft: CellDraft, id: string): number {
  return countWhere(draft.running.values(), ({engine}) => engine === id)
}

function applyCacheReport(
  {cacheSeq, prefixes}: Engine,
  cache: CacheReport | undefined
): Pick<Engine, "cacheSeq" | "prefixes"> {
  if (!cache) return {cacheSeq, prefixes}
  const next = new Set(hasGap(cacheSeq, cache) ? [] : prefixes)
  for (const {prefix, stored} of cache.events) {
    next.delete(prefix)
    if (stored) next.add(prefix)
  }
  for (const oldest of next) {
    if (next.size <= MAX_PREFIXES) break
    next.delete(oldest)
  }
  return {cacheSeq: cache.last, prefixes: next}
}

/**
 * Whether events were missed, or the engine restarted its sequence numbers: the known
 * prefixes may be wrong.
 */
function hasGap(seen: number, {last, events}: CacheReport): boolean {
  if (last < seen) return true
  const steps = events.map(({seq}, index) => seq - (events[index - 1]?.seq ?? seen))
  return steps.some(step => step !== 1) || seen + events.length !== last
}
