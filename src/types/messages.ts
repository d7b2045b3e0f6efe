/** The messages between entries and keepers. See docs/protocols/peers.md. */
import type {ConfigChange, RequestClass, SnapshotRecord} from "./config.js"

/**
 * Compared by both sides when a link opens; raised when the meaning of a message changes.
 */
export const PROTOCOL_VERSION = 1

export interface Hello {
  readonly t: "hello"
  readonly protocol: number
  readonly role: "entry" | "keeper" | "admin"
  /** Changes at every start of a process, so that restarts can be detected. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly generation: number
}

/**
 * A request that an entry has in progress on an engine, or whose cancel is unconfirmed.
 */
export interface PinnedRequest {
  readonly request: string
  readonly engine: string
  readonly model: string
}

/**
 * An engine and adapter that an entry may use without a new grant while there is no
 * owner.
 */
export interface HeldPair {
  readonly engine: string
  readonly model: string
}

/** All that an entry holds in a cell. From then on it uses only grants of this owner. */
export interface Inventory {
  readonly t: "inventory"
  readonly cell: string
  readonly fence: number
  readonly running: readonly PinnedRequest[]
  readonly held: readonly HeldPair[]
}

export interface GrantRequest {
  readonly t: "ask"
  readonly cell: string
  readonly request: string
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  /** Identifies the start of the prompt, as in the cache events of engines. */
  readonly prefix?: string
  /** How long the entry waits, counted from receipt. */
  readonly patienceMs: number
}

export interface Withdraw {
  readonly t: "withdraw"
  readonly cell: string
  readonly request: string
}

export interface Done {
  readonly t: "done"
  readonly cell: string
  readonly request: string
  readonly engine: string
  readonly result: "ok" | "failed" | "not-loaded" | "refused"
}

/**
 * The entry has no request in progress with the adapter on the engine and does not use it
 * again without a new grant.
 */
export interface Release {
  readonly t: "release"
  readonly cell: string
  readonly fence: number
  readonly engine: string
  readonly model: string
  /** The last such grant that the entry has seen; a later grant voids the release. */
  readonly grant: number
}

export interface Reserve {
  readonly t: "reserve"
  readonly shard: string
  readonly key: string
  readonly attempt: string
  readonly body: string
}

export type KeyState = "running" | "answered" | "unknown"

export interface Settle {
  readonly t: "settle"
  readonly shard: string
  readonly key: string
  readonly attempt: string
  readonly state: "answered" | "unknown" | "not-run"
}

/**
 * Heartbeat. Carries the generation, so that configuration also spreads between peers.
 */
export interface Ping {
  readonly t: "ping"
  readonly generation: number
}

export interface FetchConfig {
  readonly t: "fetch-config"
  readonly after: number
}

export type EntryMessage =
  | Inventory
  | GrantRequest
  | Withdraw
  | Done
  | Release
  | Reserve
  | Settle
  | Ping
  | FetchConfig

export interface Grant {
  readonly t: "grant"
  readonly cell: string
  readonly fence: number
  readonly request: string
  readonly engine: string
  readonly model: string
  /** Number that increases with each grant under the same fence. */
  readonly grant: number
  /** How long the request waited for its adapter to load. */
  readonly stallMs: number
  /** How full the engine's batch is, including this request. */
  readonly fillPercent: number
}

export interface Refuse {
  readonly t: "refuse"
  readonly request: string
  readonly code: "no-capacity" | "load-failed"
  readonly retryAfterMs: number
}

export interface Recall {
  readonly t: "recall"
  readonly cell: string
  readonly fence: number
  readonly engine: string
  readonly model: string
}

/** The complete list of shares (cells and register shards) that the keeper owns now. */
export interface Owned {
  readonly t: "owned"
  readonly shares: readonly OwnedShare[]
}

export interface OwnedShare {
  readonly share: string
  readonly fence: number
}

export interface Reserved {
  readonly t: "reserved"
  readonly key: string
  readonly attempt: string
}

export interface KeyStatus {
  readonly t: "known"
  readonly key: string
  readonly attempt: string
  readonly state: KeyState | "other-body" | "no-record"
}

/**
 * The changes after the requested generation, or a snapshot if the log no longer has
 * them.
 */
export interface ConfigPage {
  readonly t: "config-page"
  readonly changes: readonly ConfigChange[]
  readonly snapshot?: {
    readonly generation: number
    readonly records: readonly SnapshotRecord[]
  }
}

export type KeeperMessage =
  Grant | Refuse | Recall | Owned | Reserved | KeyStatus | Ping | FetchConfig | ConfigPage

export type PeerMessage = Hello | EntryMessage | KeeperMessage
