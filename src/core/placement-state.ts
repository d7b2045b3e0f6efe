/** The leader's state of its fleet: engines, and requests that wait for weights. */
import type {EngineDelta, PrefillBacklog, WeightsRequest} from "../types/box-messages.js"
import type {FleetService} from "../types/fleet.js"
import type {PressureLevel} from "../types/load-messages.js"
import type {SendAllowanceGrant} from "../types/rate-messages.js"
import {createPrefillRate, type PrefillRate, type PrefillSpan} from "./prefill-rate.js"
import type {AdapterDemand} from "./placement-copies.js"
import type {FleetIndex} from "./placement-index.js"

export type SlotPhase = "loading" | "ready" | "unloading"

/** An adapter in one of the few slots of an engine. */
export interface Slot {
  version: number
  phase: SlotPhase
  /** When requests for the adapter may be sent to the engine. */
  readyAt: number
  orderedAt: number
  lastUsed: number
  /** Requests in progress that use the adapter, from all boxes. */
  running: number
  /**
   * Whether it is loaded from weights cached on the engine's host, not from the store.
   */
  fromCache: boolean
  /** Whether its load showed that the weights were not cached. */
  missedCache: boolean
  /** Whether it was ordered because engines that hold the adapter were busy. */
  isReplica: boolean
  /**
   * Whether this leader ordered the load, and no unload that may have been executed.
   * Otherwise it knows the slot from reports.
   */
  isOwnLoad: boolean
  /** The older version, which keeps a slot of its own until this one is loaded. */
  replacedVersion: number | undefined
}

export type FleetOrder =
  | {
      readonly operation: "load"
      readonly model: string
      readonly adapter?: string
      readonly version?: number
    }
  | {readonly operation: "unload"; readonly model: string; readonly adapter: string}

/** How an order ended. */
export type OrderResult =
  /** The engine executes the order, or did so before. */
  | "accepted"
  | "done"
  /** Another order is in progress, or the expected sequence number does not match. */
  | "conflict"
  /** The engine has seen a newer fencing token. */
  | "fenced"
  /** Another engine answered, or the engine cannot load these weights. */
  | "misplaced"
  | "refused"
  /** No answer: the order may have been executed, or may be later. */
  | "unknown"
  /** The order did not leave this box. */
  | "not-sent"

/**
 * A load order without an answer. An engine may execute it seconds later if its sequence
 * number still matches. Orders are addressed to the server's name, so that one may also
 * reach the server's next incarnation, which numbers orders from zero.
 */
export interface UnconfirmedLoad {
  readonly expectedSequence: number
  /** From then on the order can no longer be executed. */
  readonly expiresAt: number
}

export interface FleetEngine {
  readonly id: string
  readonly server: string
  readonly service: string
  readonly dataCentre: string
  /** Version of its software. */
  software: string
  leaving: boolean
  models: Set<string>
  readonly slots: Map<string, Slot>
  /** Adapters whose weights the host still caches, with the time of use, newest last. */
  readonly cachedWeights: Map<string, number>
  /** Prompt tokens of its requests that wait for prefill. */
  queuedTokens: number
  /** Requests of all boxes in progress there. */
  running: number
  /** Average time between two events of its streams. Undefined if not known. */
  eventMs: number | undefined
  prefill: PrefillSpan
  /** The engine's own count of executed orders. Undefined until reported. */
  sequence: number | undefined
  /** Whether an order or a report request awaits its answer. */
  hasPendingCall: boolean
  /** The order that awaits its answer. */
  pendingOrder: FleetOrder | undefined
  /** The order with unknown outcome since the last answer, or "several". */
  unresolvedOrder: FleetOrder | "several" | undefined
  /** Unconfirmed loads of previous incarnations, which this one may still execute. */
  inheritedLoads: readonly UnconfirmedLoad[]
  /** Unconfirmed loads of this incarnation. */
  unconfirmedLoads: readonly UnconfirmedLoad[]
  /** Earliest time of the next order or report request, after a failure or while busy. */
  pausedUntil: number
  /** End of a back-off requested by the server: no order or report request until then. */
  backoffUntil: number
  /**
   * Whether the server advertised a rate limit. Other engines are preferred for loads.
   */
  isRateLimited: boolean
  /** Failed calls in a row. */
  failures: number
  /** When the next report is requested. */
  nextReportAt: number
  /** Whether models or slots changed since the last update to any box. */
  hasUnsentChanges: boolean
  /** Whether they changed since the last broadcast. */
  hasUnbroadcastChanges: boolean
  lastBroadcast: BroadcastState
  /** Whether `queuedTokens` changed since the last broadcast. */
  queuedTokensChanged: boolean
}

/** What the last broadcast to all boxes said that an engine holds. */
export interface BroadcastState {
  readonly models: readonly string[]
  readonly slots: ReadonlyMap<
    string,
    {readonly version: number; readonly readyAt: number}
  >
}

/** A request on a box that waits for weights. */
export interface WaitingRequest {
  readonly box: string
  readonly weightsRequest: WeightsRequest
  readonly since: number
}

/** An engine's report of its state. */
export interface EngineReport {
  /**
   * Start of its process by its own clock, Unix milliseconds. Undefined if not reported.
   */
  readonly startedAt?: number
  readonly sequence: number
  readonly busy: boolean
  readonly models: readonly {
    readonly name: string
    readonly adapters: ReadonlyMap<string, number>
  }[]
  /** Adapters that are being loaded. */
  readonly pending: readonly {readonly adapter: string; readonly version: number}[]
}

export type FleetEffect =
  | {
      readonly type: "order"
      readonly engine: string
      readonly order: FleetOrder
      readonly expectedSequence: number
    }
  | {readonly type: "ask"; readonly engine: string}
  /** Deltas for `boxes`, or for all boxes if undefined. */
  | {
      readonly type: "places"
      readonly changes: readonly EngineDelta[]
      readonly loads?: PrefillBacklog | undefined
      readonly boxes?: readonly string[]
    }
  | {readonly type: "loads"; readonly loads: PrefillBacklog}
  /** Whether a box may retry a request. */
  | {
      readonly type: "retry"
      readonly box: string
      readonly id: string
      readonly allowed: boolean
    }
  /** Requests that a box may send to servers with an advertised rate limit. */
  | {
      readonly type: "send-grants"
      readonly box: string
      readonly grants: readonly SendAllowanceGrant[]
    }
  /** What all boxes refuse; replaces what was sent before. */
  | {readonly type: "pressure"; readonly services: readonly PressureLevel[]}
  | {
      readonly type: "refuse"
      readonly box: string
      readonly request: string
      readonly retryAfterMs: number
    }
  | {
      readonly type: "note"
      readonly event: FleetLogEvent
      readonly fields: Readonly<Record<string, string | number | boolean>>
    }

/** The log events of placement and of the levels of pressure. */
export type FleetLogEvent =
  | "place-load"
  | "place-unload"
  | "place-trouble"
  | "place-restarted"
  | "service-short"
  | "service-relieved"
  | "service-engines"

/** What one box has in progress with one adapter on one engine. */
export interface BoxEngineUse {
  readonly running: number
  /** Prompt tokens that wait for prefill. */
  readonly tokens: number
}

export interface Fleet {
  services: ReadonlyMap<string, FleetService>
  readonly engines: Map<string, FleetEngine>
  readonly newestVersions: Map<string, number>
  readonly waitingRequests: Map<string, WaitingRequest>
  /** Use by box, then by engine and adapter. It is subtracted when the box is lost. */
  readonly usesByBox: Map<string, Map<string, BoxEngineUse>>
  /** Exponentially decayed request count of each adapter. */
  readonly popularity: Map<string, {score: number; at: number}>
  /** Recent demand of each adapter, for copies. */
  readonly demand: Map<string, AdapterDemand>
  /** Token bucket that limits loads of base models from the weight store. */
  baseModelLoadTokens: number
  baseModelLoadTokensAt: number
  /** Learned load times, from the weight store and from cached weights. */
  storeLoadMs: number
  cacheLoadMs: number
  /** Number of adapters that hosts cache, relative to the first assumption. */
  cacheScale: number
  copiesCheckedAt: number
  enginesLoggedAt: number
  /** Number of boxes that receive updates, including this one. */
  boxCount: number
  /** When deltas, and when loads were last broadcast. */
  lastBroadcastAt: number
  lastLoadsBroadcastAt: number
  /** The engines of the last broadcast of loads, in its order. */
  lastLoadsOrder: readonly string[]
  readonly prefillRate: PrefillRate
  index: FleetIndex
  /** Whether an event since the last plan may make a new order possible. */
  needsPlanning: boolean
  effects: FleetEffect[]
}

/** Slots in use on an engine, including those of loading and unconfirmed adapters. */
export function countUsedSlots({
  slots,
  inheritedLoads: unconfirmedLoads
}: FleetEngine): number {
  let occupied = slots.size + unconfirmedLoads.length
  for (const {replacedVersion} of slots.values())
    if (replacedVersion !== undefined) occupied++
  return occupied
}

export function createFleet(now: number): Fleet {
  return {
    services: new Map(),
    engines: new Map(),
    newestVersions: new Map(),
    waitingRequests: new Map(),
    usesByBox: new Map(),
    popularity: new Map(),
    demand: new Map(),
    baseModelLoadTokens: 0,
    baseModelLoadTokensAt: now,
    storeLoadMs: 280,
    cacheLoadMs: 60,
    cacheScale: 1,
    copiesCheckedAt: now,
    enginesLoggedAt: now,
    boxCount: 1,
    lastBroadcastAt: -Infinity,
    lastLoadsBroadcastAt: now,
    lastLoadsOrder: [],
    prefillRate: createPrefillRate(),
    index: {
      holders: new Map(),
      requestedAdapters: new Set(),
      expectedTokens: new Map(),
      waitingTokens: new Map(),
      incomingTokens: new Map(),
      medianEventMs: undefined,
      openEngines: new Map(),
      cachedAt: undefined
    },
    needsPlanning: false,
    effects: []
  }
}

const POPULARITY_HALF_LIFE_MS = 10_000

/** The decayed request count of an adapter. */
export function popularityOf(fleet: Fleet, adapter: string, now: number): number {
  const popularity = fleet.popularity.get(adapter)
  return popularity
    ? popularity.score * 2 ** ((popularity.at - now) / POPULARITY_HALF_LIFE_MS)
    : 0
}

/** Adds requests to the popularity of an adapter. */
export function recordDemand(
  fleet: Fleet,
  adapter: string,
  requests: number,
  now: number
): void {
  fleet.popularity.set(adapter, {
    score: popularityOf(fleet, adapter, now) + requests,
    at: now
  })
}

export function createSlot(
  version: number,
  phase: Slot["phase"],
  readyAt: number,
  now: number
): Slot {
  return {
    version,
    phase,
    readyAt,
    orderedAt: now,
    lastUsed: now,
    running: 0,
    fromCache: false,
    missedCache: false,
    isReplica: false,
    isOwnLoad: false,
    replacedVersion: undefined
  }
}
