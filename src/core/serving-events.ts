/** Events and effects of a box, as a serving box and as the leader. */
import type {RecordedVersions} from "./service-versions.js"
import type {
  EngineDelta,
  PrefillBacklog,
  EngineSnapshot,
  WeightsRequest,
  EngineUseDelta
} from "../types/box-messages.js"
import type {DemandRow, PressureLevel} from "../types/load-messages.js"
import type {CrashUpdate} from "../types/crash-messages.js"
import type {BackendRecord, FleetConfig} from "../types/fleet.js"
import type {AnswerEnd} from "./answer-end.js"
import type {StoreRead} from "./backend-list.js"
import type {CarriedEnd, CrashSource} from "./box-crashes.js"
import type {AttemptFailure} from "./box-attempt-failures.js"
import type {Arrival, BoxEffect} from "./box-state.js"
import type {OriginAnswer} from "./box-streams.js"
import type {KnownEra} from "./eras.js"
import type {
  AllowanceRequest,
  AllowanceGrant,
  UsageClaims,
  UsageProjections
} from "../types/usage-messages.js"
import type {
  RateReport,
  SendAllowanceRequest,
  SendAllowanceGrant,
  SentCounts
} from "../types/rate-messages.js"
import type {ServerNotice} from "./server-notices.js"
import type {OriginReport} from "./stream-origins.js"
import type {LedgerEffect} from "./usage-ledger.js"
import type {EngineReport, FleetEffect, OrderResult} from "./placement-state.js"

/** Events of the box's requests, and updates from other processes and the store. */
export type ServingEvent =
  | {readonly type: "arrive"; readonly arrival: Arrival}
  | {readonly type: "started"; readonly id: string; readonly attempt: number}
  /** Bytes of the attempt's answer have arrived. */
  | {
      readonly type: "heard"
      readonly id: string
      readonly attempt: number
      /** The last event that was sent to the caller. */
      readonly lastEventId?: string | undefined
    }
  /** The box has stopped reading the answer, because its caller reads slowly. */
  | {readonly type: "held-up"; readonly id: string; readonly attempt: number}
  | {
      readonly type: "head"
      readonly id: string
      readonly attempt: number
      readonly head: {readonly failed: boolean; readonly streamed: boolean}
    }
  /** The first events of an attempt reach the caller. */
  | {readonly type: "stream-began"; readonly id: string; readonly attempt: number}
  /** What other boxes know of the begin of a stream that the request resumes. */
  | {readonly type: "origin-answer"; readonly id: string; readonly answer: OriginAnswer}
  /** What a leader stored of the software versions of all services. */
  | {readonly type: "versions-recorded"; readonly recorded: RecordedVersions}
  /** Other boxes report where streams began. */
  | {readonly type: "origins-told"; readonly origins: readonly OriginReport[]}
  /** Comes right before `done` or `failed`. */
  | {
      readonly type: "answer-ended"
      readonly id: string
      readonly attempt: number
      readonly end: AnswerEnd
    }
  | {
      readonly type: "done"
      readonly id: string
      readonly attempt: number
      /** Events of the attempt's answer, if it is a stream. */
      readonly events?: number
    }
  | {
      readonly type: "failed"
      readonly id: string
      readonly attempt: number
      readonly failure: AttemptFailure
      readonly lastEventId: string | undefined
    }
  | {readonly type: "hang-up"; readonly id: string}
  | {readonly type: "config"; readonly config: FleetConfig}
  | {
      readonly type: "backends"
      readonly records: readonly BackendRecord[]
      /** Servers whose entries cannot be parsed. */
      readonly unreadable?: ReadonlySet<string>
      readonly reading: StoreRead
    }
  | {
      readonly type: "backend"
      /** An incarnation of a server, or a server with all its incarnations. */
      readonly id: string
      /** Undefined if the entry was deleted. */
      readonly record: BackendRecord | "unreadable" | undefined
      readonly reading: StoreRead
    }
  /** Neither this box nor another one that it asked could read the store. */
  | {readonly type: "store-trouble"}
  /** This box could not read the store, but other boxes could. */
  | {readonly type: "store-served"}
  | {readonly type: "store-back"}
  /** The list of backend servers was the newest available at `at` (clock of the box). */
  | {
      readonly type: "news"
      readonly at: number
      /**
       * Whether the store was read; if not, nobody could read it and no newer list is
       * available.
       */
      readonly read: boolean
    }
  /** The store was read at `at`, or later, for the configuration in force in this box. */
  | {readonly type: "config-read"; readonly at: number}
  /** The current era of the store. `restored` is true when a restore is first noticed. */
  | {readonly type: "era"; readonly known: KnownEra; readonly restored: boolean}
  /**
   * This box started after a restore of the store. Until `until` the entries that it
   * reads may be restored ones.
   */
  | {readonly type: "copied"; readonly until: number}
  | {readonly type: "engines"; readonly engines: readonly EngineSnapshot[]}
  | {
      readonly type: "places"
      readonly changes: readonly EngineDelta[]
      readonly loads?: PrefillBacklog | undefined
    }
  | {readonly type: "loads"; readonly loads: PrefillBacklog}
  | {
      readonly type: "versions"
      readonly versions: readonly (readonly [adapter: string, version: number])[]
    }
  | {readonly type: "refuse"; readonly request: string; readonly retryAfterMs: number}
  /** The leader's answer to a retry request. */
  | {readonly type: "may-retry"; readonly id: string; readonly allowed: boolean}
  /** The leader's answer to an allowance request. */
  | {
      readonly type: "allowances"
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }
  | {readonly type: "leader-new"}
  /** Notice from a server in an answer to this box. */
  | {
      readonly type: "server-says"
      readonly backend: string
      readonly notice: ServerNotice
      /**
       * When the answered request was sent. Undefined if the answer is to an order or a
       * status request.
       */
      readonly sentAt?: number
    }
  /** Advertised rate limits that other boxes received. */
  | {
      readonly type: "rates"
      readonly news: readonly RateReport[]
      readonly source: "box" | "leader"
    }
  /** The leader's answers to send requests to rate-limited servers. */
  | {readonly type: "send-grants"; readonly grants: readonly SendAllowanceGrant[]}
  /** What the leader has boxes refuse; replaces what it sent before. */
  | {readonly type: "pressure"; readonly services: readonly PressureLevel[]}
  /**
   * Result of a test connection to a server. Undefined if it was neither established nor
   * refused.
   */
  | {
      readonly type: "probed"
      readonly backend: string
      readonly up: boolean | undefined
    }
  /** As above, for the path from this box to the server. */
  | {
      readonly type: "path-checked"
      readonly backend: string
      readonly accepted: boolean | undefined
    }
  /** A connection for a request of another box could not be opened. */
  | {readonly type: "connect-failed"; readonly backend: string}
  /** A server answered a request of another box. */
  | {readonly type: "server-heard"; readonly backend: string}
  /** This box begins to send a request for another box. */
  | {
      readonly type: "carried"
      readonly id: string
      readonly backend: string
      readonly fingerprints: readonly string[]
    }
  /** That ends. */
  | {readonly type: "carried-ended"; readonly id: string; readonly end: CarriedEnd}
  /** Addresses at which other boxes accept links. */
  | {readonly type: "peers"; readonly addresses: readonly string[]}
  /** Updates from other processes about requests that crash servers. */
  | {
      readonly type: "crashes"
      readonly changes: CrashUpdate
      readonly source: CrashSource
    }
  | {readonly type: "stop"}
  /** The process of a stopping box is about to exit. */
  | {readonly type: "exit"}
  /** Load orders are possible after `inMs`, from the current leader or the next one. */
  | {readonly type: "orders"; readonly hasLeader: boolean; readonly inMs: number}
  /** Number of boxes in the system. */
  | {readonly type: "boxes"; readonly boxes: number}
  | {readonly type: "tick"; readonly mayOrder: boolean}

/** Events of the leader. */
export type FleetEvent =
  | {readonly type: "lead"}
  | {readonly type: "lead-over"}
  | {readonly type: "need"; readonly box: string; readonly need: WeightsRequest}
  | {readonly type: "drop"; readonly box: string; readonly request: string}
  | {
      readonly type: "uses"
      readonly box: string
      readonly changes: readonly EngineUseDelta[]
    }
  | {
      readonly type: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** A box has used up its own retry budget and requests a retry. */
  | {
      readonly type: "ask-retry"
      readonly box: string
      readonly id: string
      readonly service: string
    }
  /** A box's usage of organisations' limits, and its allowance requests. */
  | {
      readonly type: "usage"
      readonly box: string
      readonly ask: number
      readonly entries: readonly AllowanceRequest[]
    }
  /** The usage projection that earlier leaders stored. Undefined if it is not known. */
  | {
      readonly type: "usage-read"
      readonly outlooks: UsageProjections | undefined
      readonly claims?: UsageClaims | undefined
      /** How long no leader can have granted what `outlooks` may lack. */
      readonly endedForMs?: number | undefined
    }
  /**
   * Result of storing the usage projection. If `ok` is false, it may or may not be
   * stored.
   */
  | {readonly type: "usage-saved"; readonly save: number; readonly ok: boolean}
  /** This box is about to end its leadership and grants no more allowances. */
  | {readonly type: "usage-close"}
  /**
   * A box requests sends to rate-limited servers, and reports its sends before the limit.
   */
  | {
      readonly type: "send-asks"
      readonly box: string
      readonly asks: readonly SendAllowanceRequest[]
    }
  | {
      readonly type: "sent-lately"
      readonly box: string
      readonly sent: readonly SentCounts[]
    }
  /** A box reports its demand for services under admission control. */
  | {readonly type: "demand"; readonly box: string; readonly rows: readonly DemandRow[]}
  | {readonly type: "box-gone"; readonly box: string}
  | {
      readonly type: "report"
      readonly engine: string
      readonly report: EngineReport | undefined
    }
  /** A server with the engine's name answered, but as a different incarnation. */
  | {readonly type: "life-over"; readonly engine: string}
  | {readonly type: "order-result"; readonly engine: string; readonly result: OrderResult}

export type RoutedEvent = ServingEvent | FleetEvent
export type RoutedEffect = BoxEffect | FleetEffect | LedgerEffect
