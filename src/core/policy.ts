/** Inputs and decisions of policies, which only rank and limit. */
import type {RequestClass} from "../types/config.js"

/** Input of policies for an engine. */
export interface EngineView {
  readonly id: string
  readonly dataCentre: string
  readonly slots: number
  readonly maxBatch: number
  /** Requests of the cell in progress on it. */
  readonly running: number
  /** Requests from outside the cell in its last report, running and waiting. */
  readonly foreign: number
  /** Whether it has the prefix of the request's prompt cached, by its cache reports. */
  readonly cachesPrefix: boolean
  readonly freeSlots: number
  readonly models: ReadonlyMap<string, ModelView>
}

/** Input of policies for an adapter on an engine. */
export interface ModelView {
  /** Requests in progress on this engine. */
  readonly running: number
  /** Requests of the cell that wait for it. */
  readonly waiting: number
  readonly lastUsed: number
  /** Count of requests for it, decayed with the half-life `POPULARITY_HALF_LIFE_MS`. */
  readonly heat: number
  /** Engines of the cell that have it. */
  readonly copies: number
}

/** Input of policies for a request. */
export interface RequestView {
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  readonly waitedMs: number
}

/** Input of policies for an adapter whose requests wait: load it on one more engine? */
export interface DemandView {
  readonly waiting: number
  /** Engines that have it. */
  readonly copies: number
  readonly heat: number
  /** The smallest batch limit of the engines that have it. */
  readonly maxBatch: number
}

/** A policy program. Its functions are called synchronously and must not block. */
export interface Policy {
  readonly name: string
  /** Ranks engines that have the adapter, best first. Omitted ones are a fallback. */
  rankServing(engines: readonly EngineView[], request: RequestView): readonly string[]
  /** Ranks engines to load the adapter on, best first. An omitted engine is not used. */
  rankLoading(engines: readonly EngineView[], request: RequestView): readonly string[]
  /** Ranks adapters of an engine for eviction, first victim first. */
  rankVictims(engine: EngineView, now: number): readonly string[]
  /** How long more urgent requests may overtake a request of the class. */
  slackMs(requestClass: RequestClass): number
  /** Loads (0 or 1) reserved for requests whose slack is over, such as a shopper's. */
  readonly reservedLoads: number
  /** Whether to load an adapter on one more engine. */
  wantsCopy(demand: DemandView): boolean
  /** Maximum of concurrent requests of an organisation and class in a cell. */
  limit(organisation: string, requestClass: RequestClass): number
}

/** Half-life of the decayed request count of an adapter. */
export const POPULARITY_HALF_LIFE_MS = 60_000
