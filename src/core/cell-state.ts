/**
 * The state of a cell: a group of engines that one keeper owns as a unit, the adapters on
 * them, and the requests and entries that use them.
 */
import type {ModelEngine, RequestClass} from "../types/config.js"
import type {KeeperMessage} from "../types/messages.js"

/**
 * State of an adapter on an engine.
 * `draining`: recalled from the entries that hold it, and unloaded once they release it.
 * `doubtful`: the outcome of an order is unknown. The adapter is not used until the
 * engine has listed its adapters.
 */
export type AdapterPhase = "loading" | "loaded" | "draining" | "unloading" | "doubtful"

/** An adapter on an engine. */
export interface EngineAdapter {
  readonly phase: AdapterPhase
  /** Time at which the phase was last set. */
  readonly phaseSetAt: number
  readonly lastUsed: number
}

export interface Engine {
  readonly server: ModelEngine
  /** Leaving, by the platform's box list or its own report: gets no new work. */
  readonly leaving: boolean
  /** Whether the engine itself reported that it is leaving, in its last list. */
  readonly reportedLeaving: boolean
  /** It gets no requests or loads until then, because it refused a request. */
  readonly avoidUntil: number
  /** Whether it has listed its adapters since this keeper took over the cell. */
  readonly listed: boolean
  /** Whether a list order is pending. */
  readonly listPending: boolean
  /** Earliest time of the next list order. */
  readonly nextListAt: number
  readonly adapters: ReadonlyMap<string, EngineAdapter>
  /** Entries whose requests it was ordered to cancel, if it checks fencing tokens. */
  readonly cancelling: ReadonlySet<string>
  /** Entries whose requests it has cancelled; it refuses their earlier grants. */
  readonly cancelled: ReadonlySet<string>
  /** Requests in its last report that this cell didn't grant. Reports are delayed. */
  readonly foreign: number
  /** Maximum of concurrent requests of the cell since its last report. */
  readonly peakRunning: number
  /** Sequence number of the last cache event applied. */
  readonly cacheSeq: number
  /** Keys of cached prompt prefixes, from delayed cache events that may have gaps. */
  readonly prefixes: ReadonlySet<string>
}

/** A request that waits for a grant. */
export interface WaitingRequest {
  readonly request: string
  readonly entry: string
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  /** Key of the prompt's prefix, for prefix caches. Empty if the request has none. */
  readonly prefix: string
  readonly arrivedAt: number
  readonly expiresAt: number
  /** Whether no engine had the adapter loaded when the request arrived. */
  readonly cold: boolean
}

/** A granted request. */
export interface RunningRequest {
  readonly request: string
  readonly entry: string
  readonly engine: string
  readonly model: string
  /** Undefined, as is the class, if an earlier owner granted the request. */
  readonly organisation?: string
  readonly class?: RequestClass
}

/** Demand for an adapter: a request count that decays exponentially with time. */
export interface Popularity {
  readonly score: number
  readonly at: number
}

/** Consecutive failed loads of an adapter, and the earliest time of a retry. */
export interface LoadFailure {
  readonly count: number
  readonly retryAt: number
}

/** Failed decisions of a policy. */
export interface PolicyFaults {
  readonly policy: string
  readonly count: number
}

export interface CellState {
  readonly id: string
  /** Fencing token of this term of ownership. */
  readonly fence: number
  readonly takenAt: number
  readonly engines: ReadonlyMap<string, Engine>
  readonly waiting: ReadonlyMap<string, WaitingRequest>
  readonly running: ReadonlyMap<string, RunningRequest>
  /** Entries that may be using an adapter, each with its last grant; by `pairKey`. */
  readonly holders: ReadonlyMap<string, ReadonlyMap<string, number>>
  /** Entries that have not yet sent this owner their inventory. */
  readonly awaitedInventories: ReadonlySet<string>
  readonly popularity: ReadonlyMap<string, Popularity>
  readonly failures: ReadonlyMap<string, LoadFailure>
  /** Number of the last grant. */
  readonly lastGrant: number
  /** Faults of the policy that failed last. */
  readonly policyFaults: PolicyFaults
  /** Content of the token bucket that limits loads, at `loadTokensAt`. */
  readonly loadTokens: number
  readonly loadTokensAt: number
}

/** An order to an engine. Loads and unloads carry the owner's fencing token. */
export type EngineOrder =
  | {readonly order: "load"; readonly model: string; readonly weights: string}
  | {readonly order: "unload"; readonly model: string}
  | {readonly order: "list"; readonly cacheAfter: number}
  | {readonly order: "cancel"; readonly entry: string; readonly grant: number}

/** Effects of a cell. */
export type CellEffect =
  | {readonly type: "send"; readonly to: string; readonly message: KeeperMessage}
  | {
      readonly type: "order"
      readonly cell: string
      readonly engine: string
      readonly fence: number
      readonly order: EngineOrder
    }
  | {readonly type: "probe"; readonly entry: string}
  | {readonly type: "note"; readonly event: CellLogEvent; readonly fields: LogFields}

/** Fields of a log event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/** Log events of a cell. */
export type CellLogEvent =
  | "load-started"
  | "load-failed"
  | "load-done"
  | "evicted"
  | "recall"
  | "engine-restarted"
  | "engine-listed"
  | "entry-gone"
  | "eviction-held"
  | "policy-fault"
  | "policy-suspended"

/** A mutable copy of a cell, private to one transition. */
export interface CellDraft {
  readonly base: CellState
  readonly now: number
  readonly engines: Map<string, Engine>
  readonly waiting: Map<string, WaitingRequest>
  readonly running: Map<string, RunningRequest>
  readonly holders: Map<string, ReadonlyMap<string, number>>
  readonly popularity: Map<string, Popularity>
  readonly failures: Map<string, LoadFailure>
  awaitedInventories: ReadonlySet<string>
  lastGrant: number
  policyFaults: PolicyFaults
  loadTokens: number
  loadTokensAt: number
  readonly effects: CellEffect[]
}

/** Returns the state of a cell after a takeover, without any state of its engines. */
export function createCell(
  id: string,
  fence: number,
  now: number,
  entries: Iterable<string>
): CellState {
  return {
    id,
    fence,
    takenAt: now,
    engines: new Map(),
    waiting: new Map(),
    running: new Map(),
    holders: new Map(),
    awaitedInventories: new Set(entries),
    popularity: new Map(),
    failures: new Map(),
    lastGrant: 0,
    policyFaults: {policy: "", count: 0},
    loadTokens: 1,
    loadTokensAt: now
  }
}

export function createCellDraft(cell: CellState, now: number): CellDraft {
  return {
    base: cell,
    now,
    engines: new Map(cell.engines),
    waiting: new Map(cell.waiting),
    running: new Map(cell.running),
    holders: new Map(cell.holders),
    popularity: new Map(cell.popularity),
    failures: new Map(cell.failures),
    awaitedInventories: cell.awaitedInventories,
    lastGrant: cell.lastGrant,
    policyFaults: cell.policyFaults,
    loadTokens: cell.loadTokens,
    loadTokensAt: cell.loadTokensAt,
    effects: []
  }
}

/** Returns the new state of the cell. */
export function commitCellDraft(draft: CellDraft): CellState {
  const {base, engines, waiting, running, holders, failures, policyFaults} = draft
  return {
    id: base.id,
    fence: base.fence,
    takenAt: base.takenAt,
    engines,
    waiting,
    running,
    holders,
    awaitedInventories: draft.awaitedInventories,
    popularity: draft.popularity,
    failures,
    lastGrant: draft.lastGrant,
    policyFaults,
    loadTokens: draft.loadTokens,
    loadTokensAt: draft.loadTokensAt
  }
}

/** The key of an adapter on an engine, in `holders`. */
export function pairKey(engine: string, model: string): string {
  return `${engine}|${model}`
}

/** Sets the state of an adapter on an engine; `undefined` removes the adapter. */
export function setAdapter(
  draft: CellDraft,
  engineId: string,
  model: string,
  adapter: EngineAdapter | undefined
): void {
  const engine = draft.engines.get(engineId)
  if (!engine) return
  const next = new Map(engine.adapters)
  if (adapter) next.set(model, adapter)
  else next.delete(model)
  draft.engines.set(engineId, {...engine, adapters: next})
}

export function updateEngine(
  draft: CellDraft,
  id: string,
  change: Partial<Engine>
): void {
  const engine = draft.engines.get(id)
  if (engine) draft.engines.set(id, {...engine, ...change})
}

/** Queues an order to an engine, with the cell's fencing token. */
export function sendOrder(draft: CellDraft, engine: string, order: EngineOrder): void {
  const {id, fence} = draft.base
  draft.effects.push({type: "order", cell: id, engine, fence, order})
}

/** Queues a log event. */
export function logEvent(draft: CellDraft, event: CellLogEvent, fields: LogFields): void {
  draft.effects.push({type: "note", event, fields: {cell: draft.base.id, ...fields}})
}
