/** What boxes and their leader tell each other. */
import type {CrashChanges} from "./crash-messages.js"
import type {RateNews, SendAsk, SendGrant, SentLately} from "./rate-messages.js"
import type {AllowanceAsk, AllowanceGrant} from "./usage-messages.js"
import type {BackendRecord, FleetConfig} from "./fleet.js"

/** The era of the key-value service, as a box tells it. */
export interface ToldEra {
  readonly era: number
  /** It had begun so long before, milliseconds. */
  readonly ageMs: number
  /** A process saw it rise. */
  readonly risen: boolean
}

/** Where an adapter stands on an engine. */
export interface PlaceNews {
  /** Key of the adapter, `model/adapter`. */
  readonly adapter: string
  readonly version: number
  /** Requests may be sent there in so many milliseconds; 0: now. */
  readonly readyInMs: number
}

/** All that one engine holds; replaces what was told before. */
export interface EngineNews {
  readonly engine: string
  readonly models: readonly string[]
  readonly places: readonly PlaceNews[]
}

/** What changed on one engine since it was told last. */
export interface EngineChange {
  readonly engine: string
  /** Undefined: as they were. */
  readonly models?: readonly string[]
  /** New, or not as they were. */
  readonly places: readonly PlaceNews[]
  /** Adapters that it holds no longer. */
  readonly gone: readonly string[]
}

/** Work that waits at engines, by their place in a list that all boxes share. */
export interface EngineLoads {
  /** The engines in their order; undefined: as told before. */
  readonly order?: readonly string[]
  /** Prompt tokens that wait to be read at each, from all boxes, in hundreds. */
  readonly hundreds: readonly number[]
  /** What an engine reads in a millisecond, as the leader has learned it; undefined: it does not tell. */
  readonly tokensPerMs?: number
}

/** A request that waits for an adapter. */
export interface Need {
  readonly request: string
  readonly service: string
  readonly model: string
  /** Undefined: the base model alone. */
  readonly adapter?: string
  readonly priority: number
  /** How long it still may wait to be in time, and at all, milliseconds. */
  readonly inTimeMs: number
  readonly waitMs: number
  /** Prompt tokens of the request. */
  readonly tokens: number
  /** Engines that failed it: held there, the weights do not help it. */
  readonly failedAt: readonly string[]
}

/** What a box began and ended on an engine with an adapter since it told so last. */
export interface UseChange {
  readonly engine: string
  /** Undefined: the base model alone. */
  readonly adapter?: string
  /** Requests sent there. */
  readonly begun: number
  /** Requests that are there no longer. */
  readonly ended: number
  /** Change of the prompt tokens that wait there to be read. */
  readonly tokens: number
}

/** From a box to the leader. */
export type ToLeader =
  | {
      readonly t: "hello"
      readonly box: string
      readonly incarnation: string
      /** Version of the configuration that the box knows; -1: none. */
      readonly configVersion: number
      /** Since its process started, milliseconds. */
      readonly ageMs: number
      /** Where it takes links, IP number and port. */
      readonly address: string
      /** It reads deflated messages; undefined: it does not. */
      readonly deflates?: boolean
      /** What its processor can do, in cores; undefined: it does not tell. */
      readonly capacity?: number | undefined
    }
  | AskNews
  /** The box could not read a configuration that was named. */
  | {readonly t: "ask-config"}
  /** The box followed the store and goes back to the leader's news: it has to be told all. */
  | {readonly t: "ask-all"; readonly configVersion: number}
  | {readonly t: "need"; readonly need: Need}
  | {readonly t: "drop"; readonly request: string}
  | {readonly t: "use"; readonly changes: readonly UseChange[]}
  /** An engine refused a request; `late`: its weights may be on their way. */
  | {
      readonly t: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** Asks for a repeat of a request out of what all boxes share. */
  | {readonly t: "ask-retry"; readonly request: string; readonly service: string}
  /** What the box used of organisations' limits, and what it asks for. */
  | {
      readonly t: "usage"
      readonly ask: number
      readonly entries: readonly AllowanceAsk[]
    }
  /** What the box concluded of requests that crash servers. */
  | {readonly t: "crashes"; readonly changes: CrashChanges}
  /** What a server said that it takes from all boxes together. */
  | {readonly t: "rate"; readonly news: RateNews}
  /** What the box sent lately to servers that named rates since, and what it asks to send. */
  | {readonly t: "sent-lately"; readonly sent: readonly SentLately[]}
  | {readonly t: "send-asks"; readonly asks: readonly SendAsk[]}
  /** The lease that the leader asked to renew was renewed, or is not known any more. */
  | {readonly t: "renewed"; readonly ask: number; readonly known: boolean}
  | {readonly t: "pong"}

/** When a message was sent, by the sender's clock, which other boxes don't share; undefined: it does not tell. */
export interface Sent {
  readonly sentAt?: number
}

/** From the leader to a box. */
export type FromLeader =
  | {readonly t: "config"; readonly config: FleetConfig}
  /** A newer configuration is in the store: told in its place where there are many boxes. */
  | {readonly t: "config-named"; readonly version: number}
  | ({
      readonly t: "backends"
      readonly records: readonly BackendRecord[]
      /** All there are; otherwise only those that changed. */
      readonly whole: boolean
      readonly gone: readonly string[]
      /** Since the reading of the store that it rests on, milliseconds, as it was sent. */
      readonly ageMs: number
    } & Sent)
  | StoreNews
  | {
      readonly t: "versions"
      readonly versions: readonly (readonly [adapter: string, version: number])[]
    }
  /** A picture of all engines, at the start of a link. */
  | {readonly t: "engines"; readonly engines: readonly EngineNews[]}
  /** What changed since. A link keeps its order and loses nothing, so that changes need no number. */
  | {
      readonly t: "places"
      readonly changes: readonly EngineChange[]
      /** Told with them where there are many boxes: each message costs both ends more than its bytes. */
      readonly loads?: EngineLoads | undefined
    }
  | {readonly t: "loads"; readonly loads: EngineLoads}
  /** What boxes concluded of requests that crash servers; `whole`: all that the leader knows. */
  | {readonly t: "crashes"; readonly changes: CrashChanges; readonly whole: boolean}
  /** The key-value service turns the leader away: its lease is to be renewed for it. */
  | {readonly t: "renew"; readonly ask: number; readonly lease: string}
  | {readonly t: "refuse"; readonly request: string; readonly retryAfterMs: number}
  /** The answer to `usage`. */
  | {
      readonly t: "allowances"
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }
  /** What servers take from all boxes together, as some box heard. */
  | {readonly t: "rates"; readonly news: readonly RateNews[]}
  /** The answer to `send-asks`. */
  | {readonly t: "send-grants"; readonly grants: readonly SendGrant[]}
  /** The answer to `ask-retry`. */
  | {readonly t: "may-retry"; readonly request: string; readonly allowed: boolean}
  /**
   * Sent often; `newsAgeMs`: since the leader's news was read in the store, as it was sent; `ordersInMs`: until it
   * can order loads; `medianAgeMs`: since the processes of boxes started; `others`: where some
   * boxes take links.
   */
  | ({
      readonly t: "ping"
      readonly newsAgeMs: number
      /** Since the reading that the configuration it told last rests on; undefined: it does not tell. */
      readonly configAgeMs?: number
      readonly boxes: number
      readonly ordersInMs: number
      readonly medianAgeMs: number
      readonly others: readonly string[]
      /** The most that any box can do, in cores; undefined: nobody tells. */
      readonly topCapacity?: number | undefined
      /** Undefined: the service tells none. */
      readonly storeEra?: ToldEra | undefined
    } & Sent)

/** The leader as its key names it. */
export interface LeaderRecord {
  readonly box: string
  readonly incarnation: string
  /** Where boxes link to it. */
  readonly address: string
  /** The era of the key-value service that it was claimed in; undefined: the service told none. */
  readonly era?: number | undefined
}

/** From a box that leads or that has no leader: it cannot read the store itself. */
export interface AskNews {
  readonly t: "ask-news"
  readonly configVersion: number
  /** Since the reading that its own news rests on, milliseconds; Infinity: it has none. */
  readonly ageMs: number
}

/** What a box that reads the store tells one that cannot. */
export interface StoreNews {
  readonly t: "news"
  /** Since the store was read, milliseconds. */
  readonly ageMs: number
  /** The same for the configuration that the box has; undefined: it does not tell. */
  readonly configAgeMs?: number
  /** Undefined: the box that asked has it already. */
  readonly config?: FleetConfig
  readonly records: readonly BackendRecord[]
  readonly versions: readonly (readonly [adapter: string, version: number])[]
  /** Whom the box follows, or itself. */
  readonly leader?: LeaderRecord
  /** Undefined: the service tells none. */
  readonly storeEra?: ToldEra | undefined
}

export type BoxMessage = ToLeader | FromLeader
