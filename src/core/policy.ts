/** What a policy sees and returns. It ranks; the core enforces what must always hold. */
import type {RequestClass} from "../types/config.js"

/** An engine as a policy sees it. */
export interface EngineView {
  readonly id: string
  readonly dataCentre: string
  readonly slots: number
  readonly maxBatch: number
  /** Requests of the cell in progress there. */
  readonly running: number
  /** Requests of others it reported lately, waiting ones too. */
  readonly foreign: number
  /** It has the start of the request's prompt in its cache, as far as is known. */
  readonly cachesPrefix: boolean
  readonly freeSlots: number
  readonly models: ReadonlyMap<string, ModelView>
}

/** A loaded adapter as a policy sees it. */
export interface ModelView {
  /** Requests in progress on this engine. */
  readonly running: number
  /** Requests of the cell that wait for it. */
  readonly waiting: number
  readonly lastUsed: number
  /** Requests asked for lately, halved every `HEAT_HALF_LIFE_MS`. */
  readonly heat: number
  /** Engines of the cell that have it. */
  readonly copies: number
}

/** A request as a policy sees it. */
export interface RequestView {
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  readonly waitedMs: number
}

/** What there is of an adapter that waits, and whether it wants one more engine. */
export interface DemandView {
  readonly waiting: number
  /** Engines that have it. */
  readonly copies: number
  readonly heat: number
  /** Of the smallest engine that has it. */
  readonly maxBatch: number
}

/** A policy program. Every function is called within one turn of the loop and must not block. */
export interface Policy {
  readonly name: string
  /** Engines that have the adapter, best first; an engine left out is not used. */
  rankServing(engines: readonly EngineView[], request: RequestView): readonly string[]
  /** Engines to load the adapter on, best first. */
  rankLoading(engines: readonly EngineView[], request: RequestView): readonly string[]
  /** Adapters of an engine that may go, first to go first. */
  rankVictims(engine: EngineView, now: number): readonly string[]
  /** How long a request of the class may be overtaken by more urgent ones, milliseconds. */
  slackMs(requestClass: RequestClass): number
  /** Loads of the budget kept for requests whose slack is over: a shopper finds one. 0 or 1. */
  readonly reservedLoads: number
  /** Whether an adapter that is loaded already is to be loaded on one more engine. */
  wantsCopy(demand: DemandView): boolean
  /** Requests of an organisation and class that a cell runs at once, at most. */
  limit(organisation: string, requestClass: RequestClass): number
}

/** The time in which an adapter's heat halves. */
export const HEAT_HALF_LIFE_MS = 60_000
