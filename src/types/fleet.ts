/** Records of a routed fleet: services behind routes, backend servers, and what engines hold. */
import type {RoutedOrganisation} from "./organisations.js"
import type {StorePosition} from "./store-position.js"

/** What a request of a route may be put through. */
export type RouteKind = "safe" | "unsafe" | "streaming"

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** Requests of one host and path prefix, and how they are treated. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Callers need no key. */
  readonly anonymous: boolean
  /** A broken stream may go on at another backend server. */
  readonly resumable: boolean
  /** The longest a request may be held, milliseconds. */
  readonly timeoutMs: number
  /** Answers within this time are in time, milliseconds. */
  readonly targetMs: number
  /** Callers leave a stream that is silent for so long, also before its first event, milliseconds. */
  readonly patienceMs: number
  /** The longest pause between events that is in time, milliseconds; 0: none given. */
  readonly gapTargetMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Backend servers that one request may be sent to, at most. */
  readonly maxAttempts: number
  readonly services: readonly WeightedService[]
}

/** A base model that engines of a service can hold. */
export interface EngineModel {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
}

/** What the engines of a service can hold, and how fast weights come. */
export interface EngineLimits {
  readonly models: readonly EngineModel[]
  /** For weights and adapters together. */
  readonly weightsMb: number
  /** Adapters at once, those on their way included. */
  readonly maxAdapters: number
  /** Loads from the weight store a second, over all engines. */
  readonly loadsPerSecond: number
  /** Requests in one batch. */
  readonly batch: number
}

/** A service: backend servers that can stand in for each other. */
export interface FleetService {
  readonly name: string
  /** Connections to one backend server, from all boxes together. */
  readonly maxConnections: number
  /** Undefined for plain services. */
  readonly engine?: EngineLimits
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One accepted version of the routing configuration. */
export interface FleetConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly FleetService[]
  readonly limits: CallerLimits
  /** None: nobody needs a key. */
  readonly organisations: readonly RoutedOrganisation[]
}

/** A model that an engine says it holds, with the versions of its adapters. */
export interface HeldModel {
  readonly name: string
  readonly adapters: ReadonlyMap<string, number>
}

/** A backend server as it last said of itself, and where its entry last changed: which of two is newer. */
export interface BackendRecord extends StorePosition {
  /**
   * Which life of which server. A server that starts again under its name is another one: all that
   * is believed of it, and all that runs there, is kept by this name and ends with the life.
   */
  readonly id: string
  /** The name of the server, alike for all its lives: what it is addressed by. */
  readonly server: string
  readonly service: string
  /** IP number and port. */
  readonly address: string
  readonly dataCentre: string
  readonly leaving: boolean
  readonly models: readonly HeldModel[]
}

/** Weights a request is for. */
export interface Weights {
  readonly model: string
  /** Undefined: the base model alone. */
  readonly adapter?: string
}

/** The beginning of a prompt that other requests for the same weights begin with, too. */
export interface SharedPrefix {
  /** Alike for alike beginnings. */
  readonly key: string
  readonly tokens: number
}

/** The key of an adapter of a model. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`
}

/** The model and adapter of a key. */
export function splitAdapterKey(key: string): {model: string; adapter: string} {
  const slash = key.indexOf("/")
  return {model: key.slice(0, slash), adapter: key.slice(slash + 1)}
}
