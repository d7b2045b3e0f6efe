/** The messages between entries and keepers. See docs/protocols/peers.md. */
import type {ConfigChange, RequestClass, SnapshotRecord} from "./config.js"

/** Checked by both sides at the start of a link; a change of meaning raises it. */
export const PROTOCOL_VERSION = 1

export interface Hello {
  readonly t: "hello"
  readonly protocol: number
  readonly role: "entry" | "keeper" | "admin"
  /** New at every start of a process, so that a restart is never taken for the same one. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly generation: number
}

/** A request an entry has in progress, or waits with, on an engine. */
export interface PinnedRequest {
  readonly request: string
  readonly engine: string
  readonly model: string
}

/** An engine and adapter that an entry may use without asking while no owner answers. */
export interface HeldPair {
  readonly engine: string
  readonly model: string
}

/** All an entry holds in a cell; from then on it uses only what this owner grants. */
export interface Inventory {
  readonly t: "inventory"
  readonly cell: string
  readonly fence: number
  readonly running: readonly PinnedRequest[]
  readonly held: readonly HeldPair[]
}

export interface Ask {
  readonly t: "ask"
  readonly cell: string
  readonly request: string
  readonly organisation: string
  readonly class: RequestClass
  readonly model: string
  /** Names the start of the prompt; engines' cache events name it too. */
  readonly prefix?: string
  /** How long the asker will wait, in milliseconds from receipt. */
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

/** The entry has nothing in progress on the pair and will not use it without a new grant. */
export interface Release {
  readonly t: "release"
  readonly cell: string
  readonly fence: number
  readonly engine: string
  readonly model: string
  /** The last grant of the pair the entry has seen; a later one voids the release. */
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

/** Heartbeat; carries the generation so that configuration spreads between peers too. */
export interface Ping {
  readonly t: "ping"
  readonly generation: number
}

export interface FetchConfig {
  readonly t: "fetch-config"
  readonly after: number
}

export type EntryMessage =
  Inventory | Ask | Withdraw | Done | Release | Reserve | Settle | Ping | FetchConfig

export interface Grant {
  readonly t: "grant"
  readonly cell: string
  readonly fence: number
  readonly request: string
  readonly engine: string
  readonly model: string
  /** Grows with every grant of the owner's term. */
  readonly grant: number
  /** How long the request waited for its adapter to load, in milliseconds. */
  readonly stallMs: number
  /** How full the engine's batch is with this request, in percent. */
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

/** The keeper owns these shares now; what it does not name it does not own. */
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

export interface Known {
  readonly t: "known"
  readonly key: string
  readonly attempt: string
  readonly state: KeyState | "other-body" | "no-record"
}

/** Changes that follow what the asker has, or the whole state when the log is shorter. */
export interface ConfigPage {
  readonly t: "config-page"
  readonly changes: readonly ConfigChange[]
  readonly snapshot?: {
    readonly generation: number
    readonly records: readonly SnapshotRecord[]
  }
}

export type KeeperMessage =
  Grant | Refuse | Recall | Owned | Reserved | Known | Ping | FetchConfig | ConfigPage

export type PeerMessage = Hello | EntryMessage | KeeperMessage
