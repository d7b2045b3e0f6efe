/** The state of a cell: the engines one keeper owns together, and who uses them for what. */
import type {ModelEngine, RequestClass} from "../types/config.js"
import type {KeeperMessage} from "../types/messages.js"

/**
 * Where an adapter stands on an engine.
 * `draining`: recalled from the entries that hold it, to be unloaded.
 * `doubtful`: an order's answer was lost; used for nothing until the engine was asked.
 */
export type PairPhase = "loading" | "loaded" | "draining" | "unloading" | "doubtful"

export interface Pair {
  readonly phase: PairPhase
  readonly since: number
  readonly lastUsed: number
}

export interface Engine {
  readonly server: ModelEngine
  /** Leaving by the platform's word or its own: gets nothing new. */
  readonly leaving: boolean
  /** Leaving by its own word when it was last asked. */
  readonly saysLeaving: boolean
  /** It refused a request: others are tried first until then. */
  readonly avoidUntil: number
  /** Its adapters are known: it was asked since the takeover and since its last restart. */
  readonly listed: boolean
  readonly listing: boolean
  /** Not to be asked or ordered before this time; pushed back by failures. */
  readonly quietUntil: number
  readonly pairs: ReadonlyMap<string, Pair>
  /** Fence-checking engines only: entries whose requests it was asked to cancel. */
  readonly cancelling: ReadonlySet<string>
  /** Entries whose requests it confirmed to have cancelled; it refuses their earlier grants. */
  readonly cancelled: ReadonlySet<string>
  /** Requests it reported that are not of this cell's granting; late. */
  readonly foreign: number
  /** The most requests of the cell it had at once since its last report. */
  readonly peakRunning: number
  /** The last cache event taken. */
  readonly cacheSeq: number
  /** Keys of prefixes it has cached, as far as is known; late, and with gaps. */
  readonly prefixes: ReadonlySet<string>
}

export interface Waiting {
  readonly request: string
  readonly entry: string
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  /** Names the start of the prompt, for prefix caches; empty when there is none. */
  readonly prefix: string
  readonly arrivedAt: number
  readonly giveUpAt: number
  /** Whether no engine had the adapter ready when the request came: it waits for a load. */
  readonly cold: boolean
}

export interface Running {
  readonly request: string
  readonly entry: string
  readonly engine: string
  readonly model: string
  /** Unknown of requests that an earlier owner granted. */
  readonly organisation?: string
  readonly class?: RequestClass
}

/** How often an adapter is asked for: a count that halves with time. */
export interface Heat {
  readonly score: number
  readonly at: number
}

/** A load that failed, and when it may be tried again. */
export interface LoadFailure {
  readonly count: number
  readonly retryAt: number
}

export interface PolicyFaults {
  readonly policy: string
  readonly count: number
}

export interface CellState {
  readonly id: string
  readonly fence: number
  readonly takenAt: number
  readonly engines: ReadonlyMap<string, Engine>
  readonly waiting: ReadonlyMap<string, Waiting>
  readonly running: ReadonlyMap<string, Running>
  /** For each pair, the entries that may be using it, each with its last grant. */
  readonly holders: ReadonlyMap<string, ReadonlyMap<string, number>>
  /** Entries that have not yet told this owner what they hold. */
  readonly awaited: ReadonlySet<string>
  readonly heat: ReadonlyMap<string, Heat>
  readonly failures: ReadonlyMap<string, LoadFailure>
  readonly grants: number
  /** Decisions in which a policy failed; of the last one that did. */
  readonly policyFaults: PolicyFaults
  /** Load budget: tokens at `tokensAt`. */
  readonly tokens: number
  readonly tokensAt: number
}

/** An order to an engine. Load and unload carry the owner's fence. */
export type EngineOrder =
  | {readonly order: "load"; readonly model: string; readonly weights: string}
  | {readonly order: "unload"; readonly model: string}
  | {readonly order: "list"; readonly cacheAfter: number}
  | {readonly order: "cancel"; readonly entry: string; readonly grant: number}

/** What a cell wants done. */
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
  | {readonly type: "note"; readonly event: CellNote; readonly fields: NoteFields}

export type NoteFields = Readonly<Record<string, string | number | boolean>>

/** The events of the catalogue that a cell can raise. */
export type CellNote =
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

/** A working copy of a cell: maps may be changed until `closeCell`, and nobody else sees it. */
export interface CellDraft {
  readonly base: CellState
  readonly now: number
  readonly engines: Map<string, Engine>
  readonly waiting: Map<string, Waiting>
  readonly running: Map<string, Running>
  readonly holders: Map<string, ReadonlyMap<string, number>>
  readonly heat: Map<string, Heat>
  readonly failures: Map<string, LoadFailure>
  awaited: ReadonlySet<string>
  grants: number
  policyFaults: PolicyFaults
  tokens: number
  tokensAt: number
  readonly effects: CellEffect[]
}

/** The state of a cell just taken over: nothing is known of its engines. */
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
    awaited: new Set(entries),
    heat: new Map(),
    failures: new Map(),
    grants: 0,
    policyFaults: {policy: "", count: 0},
    tokens: 1,
    tokensAt: now
  }
}

/** Opens a working copy. */
export function openCell(cell: CellState, now: number): CellDraft {
  return {
    base: cell,
    now,
    engines: new Map(cell.engines),
    waiting: new Map(cell.waiting),
    running: new Map(cell.running),
    holders: new Map(cell.holders),
    heat: new Map(cell.heat),
    failures: new Map(cell.failures),
    awaited: cell.awaited,
    grants: cell.grants,
    policyFaults: cell.policyFaults,
    tokens: cell.tokens,
    tokensAt: cell.tokensAt,
    effects: []
  }
}

/** Ends the work on a copy: the new state. */
export function closeCell(draft: CellDraft): CellState {
  const {base, engines, waiting, running, holders, heat, failures} = draft
  const {awaited, grants, policyFaults, tokens, tokensAt} = draft
  return {
    id: base.id,
    fence: base.fence,
    takenAt: base.takenAt,
    engines,
    waiting,
    running,
    holders,
    awaited,
    heat,
    failures,
    grants,
    policyFaults,
    tokens,
    tokensAt
  }
}

/** The key of a pair in `holders`. */
export function pairKey(engine: string, model: string): string {
  return `${engine}|${model}`
}

/** Replaces an engine's pair, or removes it. */
export function setPair(
  draft: CellDraft,
  engineId: string,
  model: string,
  pair: Pair | undefined
): void {
  const engine = draft.engines.get(engineId)
  if (!engine) return
  const pairs = new Map(engine.pairs)
  if (pair) pairs.set(model, pair)
  else pairs.delete(model)
  draft.engines.set(engineId, {...engine, pairs})
}

/** Changes fields of an engine. */
export function updateEngine(
  draft: CellDraft,
  id: string,
  change: Partial<Engine>
): void {
  const engine = draft.engines.get(id)
  if (engine) draft.engines.set(id, {...engine, ...change})
}

/** Queues an order to an engine under the cell's fence. */
export function giveOrder(draft: CellDraft, engine: string, order: EngineOrder): void {
  const {id, fence} = draft.base
  draft.effects.push({type: "order", cell: id, engine, fence, order})
}

/** Queues a numbered event. */
export function note(draft: CellDraft, event: CellNote, fields: NoteFields): void {
  draft.effects.push({type: "note", event, fields: {cell: draft.base.id, ...fields}})
}
