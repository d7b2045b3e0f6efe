/** Messages between boxes and their leader. */
import type {CrashUpdate} from "./crash-messages.js"
import type {DemandRow, PressureLevel} from "./load-messages.js"
import type {
  RateReport,
  SendAllowanceRequest,
  SendAllowanceGrant,
  SentCounts
} from "./rate-messages.js"
import type {AllowanceRequest, AllowanceGrant} from "./usage-messages.js"
import type {BackendRecord, FleetConfig} from "./fleet.js"

/**
 * The era of the key-value service, as a box reports it. The era is a counter that goes
 * up each time the service is restored from an older backup.
 */
export interface ReportedEra {
  readonly era: number
  /** Time since the era began. */
  readonly ageMs: number
  /** Whether a process observed the restore that began the era. */
  readonly risen: boolean
}

/** The state of an adapter on an engine. */
export interface SlotUpdate {
  /** Key of the adapter, `model/adapter`. */
  readonly adapter: string
  readonly version: number
  /** Time until requests may be sent there. 0 means now. */
  readonly readyInMs: number
}

/** The full state of one engine; replaces what was sent before. */
export interface EngineSnapshot {
  readonly engine: string
  readonly models: readonly string[]
  readonly places: readonly SlotUpdate[]
}

/** The changes of one engine since the last update that was sent. */
export interface EngineDelta {
  readonly engine: string
  /** Undefined if unchanged. */
  readonly models?: readonly string[]
  /** New or changed slots. */
  readonly places: readonly SlotUpdate[]
  /** Adapters that the engine no longer holds. */
  readonly gone: readonly string[]
}

/**
 * Prompt tokens queued at engines, by position in an engine list that all boxes share.
 */
export interface PrefillBacklog {
  /** The engine list. Undefined if it is the same as in the message before. */
  readonly order?: readonly string[]
  /** Prompt tokens to be prefilled at each engine, from all boxes, in hundreds. */
  readonly hundreds: readonly number[]
  /**
   * Prefill rate of an engine, as the leader estimates it. Undefined if it sends none.
   */
  readonly tokensPerMs?: number
  /**
   * Time that a load of an adapter takes at least, as the leader has learned it (ms).
   * Undefined if it sends none.
   */
  readonly leastLoadMs?: number
  /**
   * Requests in progress at each engine, from all boxes. Undefined if no service of the
   * configuration has engines with few places.
   */
  readonly running?: readonly number[]
  /** Speed of each engine, as a percentage of the median engine. Undefined likewise. */
  readonly speeds?: readonly number[]
}

/** A request that waits until its weights are loaded. */
export interface WeightsRequest {
  readonly request: string
  readonly service: string
  readonly model: string
  /** Undefined means the base model alone. */
  readonly adapter?: string
  readonly priority: number
  /** Equals `waitMs`. Only older leaders read it. */
  readonly inTimeMs: number
  /** Time left in which it can be sent and still be answered. */
  readonly waitMs: number
  /** Length of the prompt. */
  readonly tokens: number
  /** Software version of the engine that it needs. Undefined if any will do. */
  readonly software?: string | undefined
  /**
   * Least speed of the engine that it needs, as a percentage of the median engine.
   * Undefined if any will do.
   */
  readonly minSpeed?: number | undefined
  /** Engines that failed the request; loading the weights there does not help it. */
  readonly failedAt: readonly string[]
}

/** Usage of an adapter on an engine by one box since its last report. */
export interface EngineUseDelta {
  readonly engine: string
  /** Undefined means the base model alone. */
  readonly adapter?: string
  /** Requests sent there. */
  readonly begun: number
  /** Requests that ended there. */
  readonly ended: number
  /** Change in the number of prompt tokens to be prefilled there. */
  readonly tokens: number
  /** Pace of streams that ended there. Undefined if none has. */
  readonly pace?: StreamPace
}

/** Events of ended streams after their first, and the time that these took. */
export interface StreamPace {
  readonly events: number
  readonly ms: number
}

/** A conditional write that a box carries out for its leader. */
export interface WriteRequest {
  readonly ask: number
  readonly key: string
  readonly value: string
  /** 0 means that the key must not exist. */
  readonly expectRevision: number
  /** Undefined if the service reports no eras. */
  readonly expectEra?: number | undefined
}

export interface WriteAnswer {
  readonly ask: number
  readonly result: "written" | "conflict" | "unavailable" | "unknown"
  /** Position of the value now, if it was written or conflicts. */
  readonly revision?: number | undefined
  readonly era?: number | undefined
}

/** From a box to the leader. */
export type ToLeader =
  | {
      readonly t: "hello"
      readonly box: string
      readonly incarnation: string
      /** Version of the configuration that the box has. -1 means none. */
      readonly configVersion: number
      /** Time since its process started. */
      readonly ageMs: number
      /** IP address and port where it accepts links. */
      readonly address: string
      /** Whether it accepts deflated messages. */
      readonly deflates?: boolean
      /** Processor capacity in cores. Undefined if not reported. */
      readonly capacity?: number | undefined
    }
  | StoreSnapshotRequest
  /**
   * Requests the configuration, because the box could not read the version that was
   * named.
   */
  | {readonly t: "ask-config"}
  /**
   * Requests a full snapshot, because the box returns from reading the store to the
   * leader.
   */
  | {readonly t: "ask-all"; readonly configVersion: number}
  | {readonly t: "need"; readonly need: WeightsRequest}
  | {readonly t: "drop"; readonly request: string}
  | {readonly t: "use"; readonly changes: readonly EngineUseDelta[]}
  /** An engine lacked the adapter of a request. `late`: it may still be loading. */
  | {
      readonly t: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** Asks to retry a request out of the retry budget that all boxes share. */
  | {readonly t: "ask-retry"; readonly request: string; readonly service: string}
  /** Reports usage under the organisations' limits and requests allowances. */
  | {
      readonly t: "usage"
      readonly ask: number
      readonly entries: readonly AllowanceRequest[]
    }
  /** Reports requests suspected of crashing servers, and cleared ones. */
  | {readonly t: "crashes"; readonly changes: CrashUpdate}
  /** Reports the rate limit that a server advertised for all boxes together. */
  | {readonly t: "rate"; readonly news: RateReport}
  /** Reports recent sends to servers that have advertised a rate limit since then. */
  | {readonly t: "sent-lately"; readonly sent: readonly SentCounts[]}
  | {readonly t: "send-asks"; readonly asks: readonly SendAllowanceRequest[]}
  /** Reports demand for services under admission control, at most every 500 ms. */
  | {readonly t: "demand"; readonly rows: readonly DemandRow[]}
  /** Answer to `renew`. `known`: the lease still existed and was renewed. */
  | {readonly t: "renewed"; readonly ask: number; readonly known: boolean}
  /** Answer to `write`. */
  | ({readonly t: "written"} & WriteAnswer)
  | {readonly t: "pong"}

/**
 * When a message was sent, by the sender's clock. Undefined if the sender does not report
 * it.
 */
export interface SentTimestamp {
  readonly sentAt?: number
}

/** From the leader to a box. */
export type FromLeader =
  | {readonly t: "config"; readonly config: FleetConfig}
  /**
   * Names a newer configuration in the store; sent instead of it when there are many
   * boxes.
   */
  | {readonly t: "config-named"; readonly version: number}
  | ({
      readonly t: "backends"
      readonly records: readonly BackendRecord[]
      /** Whether these are all records; otherwise only the changed ones. */
      readonly whole: boolean
      readonly gone: readonly string[]
      readonly unlisted?: UnlistedServers
      /** Age of the store read that it is based on, at the time of sending. */
      readonly ageMs: number
    } & SentTimestamp)
  | StoreSnapshot
  /** The answer of a box that cannot read the store either. */
  | {readonly t: "no-news"}
  | {
      readonly t: "versions"
      readonly versions: readonly (readonly [adapter: string, version: number])[]
    }
  /** A full snapshot of all engines, at the start of a link. */
  | {readonly t: "engines"; readonly engines: readonly EngineSnapshot[]}
  /**
   * Changes since then. Links are ordered and lossless, so deltas need no sequence
   * number.
   */
  | {
      readonly t: "places"
      readonly changes: readonly EngineDelta[]
      /**
       * Sent along when there are many boxes, since each message costs more than its
       * bytes.
       */
      readonly loads?: PrefillBacklog | undefined
    }
  | {readonly t: "loads"; readonly loads: PrefillBacklog}
  /** The addresses where the other boxes accept links, at the start of a link. */
  | {readonly t: "boxes"; readonly addresses: readonly string[]}
  /** Reports of requests that crash servers. `whole`: all reports that the leader has. */
  | {readonly t: "crashes"; readonly changes: CrashUpdate; readonly whole: boolean}
  /**
   * Asks the box to renew the leader's lease, as the key-value service rejects the
   * leader.
   */
  | {readonly t: "renew"; readonly ask: number; readonly lease: string}
  /**
   * Asks the box to write a value of the leader, as the key-value service rejects the
   * leader.
   */
  | ({readonly t: "write"} & WriteRequest)
  | {readonly t: "refuse"; readonly request: string; readonly retryAfterMs: number}
  /** The answer to `usage`. */
  | {
      readonly t: "allowances"
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }
  /**
   * Rate limits that servers advertised for all boxes together, as reported by some box.
   */
  | {readonly t: "rates"; readonly news: readonly RateReport[]}
  /** The answer to `send-asks`. */
  | {readonly t: "send-grants"; readonly grants: readonly SendAllowanceGrant[]}
  /** What boxes refuse; replaces what was sent before. Empty if nothing is short. */
  | {readonly t: "pressure"; readonly services: readonly PressureLevel[]}
  /** The answer to `ask-retry`. */
  | {readonly t: "may-retry"; readonly request: string; readonly allowed: boolean}
  /** Heartbeat. */
  | ({
      readonly t: "ping"
      /** Age of the leader's store snapshot, at the time of sending. */
      readonly newsAgeMs: number
      /**
       * Age of the store read behind its last sent configuration. Undefined if not
       * reported.
       */
      readonly configAgeMs?: number
      readonly boxes: number
      /** Time until the leader may order loads. */
      readonly ordersInMs: number
      /** Median time since the processes of the boxes started. */
      readonly medianAgeMs: number
      /** Addresses where some other boxes accept links. */
      readonly others: readonly string[]
      /** Largest capacity of any box in cores. Undefined if no box reports it. */
      readonly topCapacity?: number | undefined
      /** Undefined if the service reports no era. */
      readonly storeEra?: ReportedEra | undefined
      /** Whether it accepts `demand`; older leaders end a link that sends it. */
      readonly acceptsDemand?: boolean
    } & SentTimestamp)

/** The leader, as stored under its key. */
export interface LeaderRecord {
  readonly box: string
  readonly incarnation: string
  /** Where boxes connect to it. */
  readonly address: string
  /** Era in which the leader was elected. Undefined if the service reported none. */
  readonly era?: number | undefined
  /** Lease of the claim, which tells the claims of a process apart. */
  readonly lease?: string | undefined
}

/** Sent by a leader, or a box without one, that cannot read the store itself. */
export interface StoreSnapshotRequest {
  readonly t: "ask-news"
  readonly configVersion: number
  /** Age of its own store snapshot. Infinity means that it has none. */
  readonly ageMs: number
  /**
   * Whether the sender keeps the link open for further requests and understands `no-news`.
   * Boxes of earlier versions do neither.
   */
  readonly keepsLink?: boolean | undefined
}

/**
 * Servers that the sender keeps although its last read of the store lacked their entries,
 * with the time from the last read that had them to that of the message.
 */
export type UnlistedServers = readonly (readonly [server: string, beforeMs: number])[]

/** A store snapshot, sent to a box that cannot read the store. */
export interface StoreSnapshot {
  readonly t: "news"
  /** Time since the store was read. */
  readonly ageMs: number
  /** The same for the configuration of the sender. Undefined if not reported. */
  readonly configAgeMs?: number
  /** Undefined if the box that asked already has it. */
  readonly config?: FleetConfig
  readonly records: readonly BackendRecord[]
  readonly unlisted?: UnlistedServers
  readonly versions: readonly (readonly [adapter: string, version: number])[]
  /** The leader that the sender follows, or the sender itself. */
  readonly leader?: LeaderRecord
  /** Undefined if the service reports no era. */
  readonly storeEra?: ReportedEra | undefined
}

export type BoxMessage = ToLeader | FromLeader
