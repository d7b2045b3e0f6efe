/** What the leader of a fleet knows of its engines, and who waits for which weights. */
import type {EngineChange, EngineLoads, Need} from "../types/box-messages.js"
import type {FleetService} from "../types/fleet.js"
import type {SendGrant} from "../types/rate-messages.js"
import {createReadingRate, type ReadingRate, type ReadSpan} from "./reading-rate.js"
import type {FleetIndex} from "./placement-index.js"

/** Where an adapter stands on an engine. */
export type PlacePhase = "loading" | "ready" | "unloading"

export interface Place {
  version: number
  phase: PlacePhase
  /** When requests may be sent there. */
  readyAt: number
  /** When the order was given. */
  orderedAt: number
  lastUsed: number
  /** Requests in progress with it, from all boxes. */
  running: number
  /** It came from a near copy, not from the weight store. */
  near: boolean
  /** It was ordered since other engines that hold it were busy, and not since requests waited for it. */
  copy: boolean
  /** The older version that stands beside it until it has come: together they take two places. */
  replaced: number | undefined
}

/** An order to an engine. */
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
  /** It is being carried out, or was already so. */
  | "accepted"
  | "done"
  /** Another is under way, or the order counter does not match. */
  | "conflict"
  /** The fence is older than one the engine has seen. */
  | "fenced"
  /** The engine is another one, or does not know the weights. */
  | "misplaced"
  | "refused"
  /** It may be carried out later. */
  | "unknown"
  /** It did not leave this box. */
  | "not-sent"

/**
 * A load without an answer. Engines carry such orders out seconds later if their count still fits, and
 * under their name they reach the engine's next life, too, whose count begins anew.
 */
export interface StrayOrder {
  readonly expectedSequence: number
  /** It is lost if it was not carried out by then. */
  readonly until: number
}

export interface FleetEngine {
  readonly id: string
  readonly server: string
  readonly service: string
  readonly dataCentre: string
  leaving: boolean
  models: Set<string>
  readonly places: Map<string, Place>
  /** Adapters it held lately, with when: their copies are near, newest last. */
  readonly copies: Map<string, number>
  /** Prompt tokens that wait to be read there. */
  load: number
  read: ReadSpan
  /** Its own count of orders; undefined until it was asked. */
  sequence: number | undefined
  /** An order or a question is on its way. */
  busy: boolean
  /** The place and order that is on its way. */
  order: FleetOrder | undefined
  /** An order without an answer, which may have been carried out, or several. */
  doubt: FleetOrder | "several" | undefined
  /** Loads given to its last life that it may carry out yet, and those given to this one. */
  strays: readonly StrayOrder[]
  ownStrays: readonly StrayOrder[]
  /** Nothing is sent to it before. */
  quietUntil: number
  /** It asked this box for rest until then: it is sent no order and asked nothing. */
  restUntil: number
  /** It named the rate that it takes: weights that requests wait for go to others. */
  isInNeed: boolean
  failures: number
  /** When it is asked next what it holds. */
  askAt: number
  /** Its places changed since boxes that wait were told. */
  changed: boolean
  /** They changed since all boxes were told. */
  untold: boolean
  /** What all boxes were told. */
  told: ToldEngine
  /** Its load does. */
  loadChanged: boolean
}

/** What all boxes were told that an engine holds. */
export interface ToldEngine {
  readonly models: readonly string[]
  readonly places: ReadonlyMap<
    string,
    {readonly version: number; readonly readyAt: number}
  >
}

/** A request of some box that waits for weights. */
export interface Waiting {
  readonly box: string
  readonly need: Need
  readonly since: number
}

/** What an engine says of itself when asked. */
export interface EngineReport {
  /** When its life began, by its own clock, Unix milliseconds; undefined: it does not tell. */
  readonly startedAt?: number
  readonly sequence: number
  readonly busy: boolean
  readonly models: readonly {
    readonly name: string
    readonly adapters: ReadonlyMap<string, number>
  }[]
  /** Adapters on their way, with their versions. */
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
  /** Changes for some boxes; without them for all. */
  | {
      readonly type: "places"
      readonly changes: readonly EngineChange[]
      readonly loads?: EngineLoads | undefined
      readonly boxes?: readonly string[]
    }
  | {readonly type: "loads"; readonly loads: EngineLoads}
  /** Whether a request of a box may be sent once more. */
  | {
      readonly type: "retry"
      readonly box: string
      readonly id: string
      readonly allowed: boolean
    }
  /** Sends of a box to servers that named rates. */
  | {
      readonly type: "send-grants"
      readonly box: string
      readonly grants: readonly SendGrant[]
    }
  | {
      readonly type: "refuse"
      readonly box: string
      readonly request: string
      readonly retryAfterMs: number
    }
  | {
      readonly type: "note"
      readonly event: FleetNote
      readonly fields: Readonly<Record<string, string | number | boolean>>
    }

/** The events of the catalogue that placement raises. */
export type FleetNote =
  "place-load" | "place-unload" | "place-trouble" | "place-restarted"

/** What one box has in progress with one adapter on one engine. */
export interface BoxUse {
  readonly running: number
  readonly tokens: number
}

export interface Fleet {
  services: ReadonlyMap<string, FleetService>
  readonly engines: Map<string, FleetEngine>
  /** Newest versions of adapters. */
  readonly versions: Map<string, number>
  readonly waiting: Map<string, Waiting>
  /** Uses of each box, so that they can be taken back when it is gone. */
  readonly uses: Map<string, Map<string, BoxUse>>
  /** How often each adapter is asked for: counts that halve with time. */
  readonly heat: Map<string, {score: number; at: number}>
  /** Base models that may be loaded from the weight store now, and when that was counted. */
  loadTokens: number
  loadTokensAt: number
  /** How long a load takes, learned: from the weight store and from near copies, milliseconds. */
  storeLoadMs: number
  copyLoadMs: number
  /** Boxes that are told news, this one included. */
  boxes: number
  /** When changes were told to all last, and when loads were. */
  toldAt: number
  loadsToldAt: number
  /** The order of engines in which loads were told last. */
  toldOrder: readonly string[]
  readonly reading: ReadingRate
  /** What the current plan looks up. */
  index: FleetIndex
  /** Something came since the last plan that may let an order be given. */
  unplanned: boolean
  effects: FleetEffect[]
}

/** Places of an engine that are taken, those on their way and those that strays may take included. */
export function countTaken({places, strays}: FleetEngine): number {
  let taken = places.size + strays.length
  for (const {replaced} of places.values()) if (replaced !== undefined) taken++
  return taken
}

/** A fleet of which nothing is known. */
export function createFleet(now: number): Fleet {
  return {
    services: new Map(),
    engines: new Map(),
    versions: new Map(),
    waiting: new Map(),
    uses: new Map(),
    heat: new Map(),
    loadTokens: 0,
    loadTokensAt: now,
    storeLoadMs: 280,
    copyLoadMs: 60,
    boxes: 1,
    toldAt: -Infinity,
    loadsToldAt: now,
    toldOrder: [],
    reading: createReadingRate(),
    index: {
      holders: new Map(),
      awaited: new Set(),
      expected: new Map(),
      waiting: new Map(),
      promised: new Map()
    },
    unplanned: false,
    effects: []
  }
}

const HEAT_HALF_LIFE_MS = 10_000

/** The heat of an adapter now. */
export function heatOf(fleet: Fleet, adapter: string, now: number): number {
  const heat = fleet.heat.get(adapter)
  return heat ? heat.score * 2 ** ((heat.at - now) / HEAT_HALF_LIFE_MS) : 0
}

/** Adds uses to the heat of an adapter. */
export function warm(fleet: Fleet, adapter: string, uses: number, now: number): void {
  fleet.heat.set(adapter, {score: heatOf(fleet, adapter, now) + uses, at: now})
}

/** A place as it is when nothing has used it. */
export function createPlace(
  version: number,
  phase: Place["phase"],
  readyAt: number,
  now: number
): Place {
  return {
    version,
    phase,
    readyAt,
    orderedAt: now,
    lastUsed: now,
    running: 0,
    near: false,
    copy: false,
    replaced: undefined
  }
}
