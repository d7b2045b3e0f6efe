/**
 * Records of a routed fleet: routes, services, backend servers and the state of engines.
 */
import type {RoutedOrganisation} from "./organisations.js"
import type {StorePosition} from "./store-position.js"

/**
 * `safe` requests may be retried after they may have run, `unsafe` ones not, and
 * `streaming` ones only if the route is resumable.
 */
export type RouteKind = "safe" | "unsafe" | "streaming"

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** The rules for requests of one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Whether callers need no key. */
  readonly anonymous: boolean
  /** Whether a broken stream can be continued at another backend server. */
  readonly resumable: boolean
  /** Longest time that a request may be held. */
  readonly timeoutMs: number
  /** Answers within this time count as in time. */
  readonly targetMs: number
  /**
   * Callers disconnect when a stream sends no event, also no first event, for this time.
   */
  readonly patienceMs: number
  /** Longest gap between events that counts as in time. 0 means no target. */
  readonly gapTargetMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /**
   * Largest number of backend servers that may run one request. Servers that refused it
   * have not run it.
   */
  readonly maxAttempts: number
  readonly services: readonly WeightedService[]
}

/** A base model that engines of a service can load. */
export interface EngineModel {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
}

/** Memory, batch and loading limits of the engines of a service. */
export interface EngineLimits {
  readonly models: readonly EngineModel[]
  /** Memory for base models and adapters together. */
  readonly weightsMb: number
  /** Adapters at a time, including those that are being loaded. */
  readonly maxAdapters: number
  /** Loads from the weight store, over all engines. */
  readonly loadsPerSecond: number
  /** Largest number of requests in one batch. */
  readonly batch: number
}

/** A service: a set of interchangeable backend servers. */
export interface FleetService {
  readonly name: string
  /** Largest number of connections to one backend server, from all boxes together. */
  readonly maxConnections: number
  /**
   * Largest rate of requests to each cold server, from all boxes together (per second).
   * Undefined if there is no such rate.
   */
  readonly coldPerS?: number
  /** Undefined if this is a plain service. */
  readonly engine?: EngineLimits
}

/** Size and time limits for requests of callers. */
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
  /** If empty, callers need no key. */
  readonly organisations: readonly RoutedOrganisation[]
}

/** A model that an engine reports as loaded, with the versions of its adapters. */
export interface LoadedModel {
  readonly name: string
  readonly adapters: ReadonlyMap<string, number>
}

/**
 * A backend server as it last described itself, with the position of that change in the
 * store.
 */
export interface BackendRecord extends StorePosition {
  /**
   * Incarnation of the server: a new one each time it restarts under the same name. All
   * state about the server and its requests is kept by this id and dropped when the
   * incarnation ends.
   */
  readonly id: string
  /** Name of the server, the same for all its incarnations. */
  readonly server: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly dataCentre: string
  /** Version of its software. Undefined if it is not known. */
  readonly software?: string
  readonly leaving: boolean
  /** How long the server was still cold when it wrote the entry (ms). 0 if it was not. */
  readonly coldRemainingMs: number
  readonly models: readonly LoadedModel[]
}

/** The weights that a request needs. */
export interface Weights {
  readonly model: string
  /** Undefined means the base model alone. */
  readonly adapter?: string
}

/** A prompt prefix that several requests for the same weights share. */
export interface SharedPrefix {
  /** Equal for equal prefixes. */
  readonly key: string
  readonly tokens: number
}

export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`
}

export function splitAdapterKey(key: string): {model: string; adapter: string} {
  const slash = key.indexOf("/")
  return {model: key.slice(0, slash), adapter: key.slice(slash + 1)}
}
