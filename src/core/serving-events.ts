/** What can happen to a box, as leader too, and what follows from it. */
import type {
  EngineChange,
  EngineLoads,
  EngineNews,
  Need,
  UseChange
} from "../types/box-messages.js"
import type {CrashChanges} from "../types/crash-messages.js"
import type {BackendRecord, FleetConfig} from "../types/fleet.js"
import type {Reading} from "./backend-list.js"
import type {CrashSource} from "./box-crashes.js"
import type {AttemptFailure} from "./box-doubts.js"
import type {Arrival, BoxEffect} from "./box-state.js"
import type {KnownEra} from "./eras.js"
import type {
  AllowanceAsk,
  AllowanceGrant,
  UsageOutlooks
} from "../types/usage-messages.js"
import type {RateNews, SendAsk, SendGrant, SentLately} from "../types/rate-messages.js"
import type {ServerNotice} from "./server-notices.js"
import type {LedgerEffect} from "./usage-ledger.js"
import type {EngineReport, FleetEffect, OrderResult} from "./placement-state.js"

/** What happens to the requests of a box, and what it hears of the world. */
export type ServingEvent =
  | {readonly type: "arrive"; readonly arrival: Arrival}
  | {readonly type: "started"; readonly id: string; readonly attempt: number}
  | {readonly type: "heard"; readonly id: string; readonly attempt: number}
  | {
      readonly type: "head"
      readonly id: string
      readonly attempt: number
      readonly head: {readonly failed: boolean; readonly streamed: boolean}
    }
  | {readonly type: "done"; readonly id: string; readonly attempt: number}
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
      /** Servers whose entries cannot be read. */
      readonly unreadable?: ReadonlySet<string>
      readonly reading: Reading
    }
  | {
      readonly type: "backend"
      /** A life of a server, or a server for all its lives. */
      readonly id: string
      /** Undefined: the entry is gone. */
      readonly record: BackendRecord | "unreadable" | undefined
      readonly reading: Reading
    }
  /** Neither this box nor another that it asked could read the store. */
  | {readonly type: "store-trouble"}
  /** This box could not read the store, but others could. */
  | {readonly type: "store-served"}
  | {readonly type: "store-back"}
  /** At that time, by the clock of the box, the news of servers was as new as it can be had. */
  | {
      readonly type: "news"
      readonly at: number
      /** The store was read then; otherwise nobody could, and nothing newer is to be had. */
      readonly read: boolean
    }
  /** The store was read then, or before, for the configuration that is in force here. */
  | {readonly type: "config-read"; readonly at: number}
  /** The era of the store as it is known now; `rose`: it is known from now on that it rose. */
  | {readonly type: "era"; readonly known: KnownEra; readonly rose: boolean}
  /** This box started after the store came back: entries that it reads may be the copy's until then. */
  | {readonly type: "copied"; readonly until: number}
  | {readonly type: "engines"; readonly engines: readonly EngineNews[]}
  | {
      readonly type: "places"
      readonly changes: readonly EngineChange[]
      readonly loads?: EngineLoads | undefined
    }
  | {readonly type: "loads"; readonly loads: EngineLoads}
  | {
      readonly type: "versions"
      readonly versions: readonly (readonly [adapter: string, version: number])[]
    }
  | {readonly type: "refuse"; readonly request: string; readonly retryAfterMs: number}
  /** The leader's answer whether a request may be sent once more. */
  | {readonly type: "may-retry"; readonly id: string; readonly allowed: boolean}
  /** The leader's answer to an ask for allowances. */
  | {
      readonly type: "allowances"
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }
  | {readonly type: "leader-new"}
  /** What a server said of itself in an answer to this box. */
  | {
      readonly type: "server-says"
      readonly backend: string
      readonly notice: ServerNotice
      /** When the request was sent that it answers; undefined: it answers an order or a question. */
      readonly sentAt?: number
    }
  /** What other boxes heard of the rates that servers take. */
  | {
      readonly type: "rates"
      readonly news: readonly RateNews[]
      readonly source: "box" | "leader"
    }
  /** The leader's answers to asks for sends to servers that named rates. */
  | {readonly type: "send-grants"; readonly grants: readonly SendGrant[]}
  /** What a new connection to a server showed; undefined: it neither came up nor was refused. */
  | {
      readonly type: "probed"
      readonly backend: string
      readonly up: boolean | undefined
    }
  /** What other boxes know of requests that crash servers. */
  | {
      readonly type: "crashes"
      readonly changes: CrashChanges
      readonly source: CrashSource
    }
  | {readonly type: "stop"}
  /** In how long loads can be ordered, milliseconds, by the leader or by the next one. */
  | {readonly type: "orders"; readonly led: boolean; readonly inMs: number}
  /** How many boxes there are. */
  | {readonly type: "boxes"; readonly boxes: number}
  | {readonly type: "tick"; readonly mayOrder: boolean}

/** What happens to the fleet this box leads. */
export type FleetEvent =
  | {readonly type: "lead"}
  | {readonly type: "lead-over"}
  | {readonly type: "need"; readonly box: string; readonly need: Need}
  | {readonly type: "drop"; readonly box: string; readonly request: string}
  | {readonly type: "uses"; readonly box: string; readonly changes: readonly UseChange[]}
  | {
      readonly type: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** A box has no repeat of its own left for a request. */
  | {
      readonly type: "ask-retry"
      readonly box: string
      readonly id: string
      readonly service: string
    }
  /** What a box used of organisations' limits, and what it asks for. */
  | {
      readonly type: "usage"
      readonly box: string
      readonly ask: number
      readonly entries: readonly AllowanceAsk[]
    }
  /** What earlier leaders may have given of organisations' limits; undefined: nobody knows. */
  | {readonly type: "usage-read"; readonly outlooks: UsageOutlooks | undefined}
  /** The outlook is stored; false: it may not be. */
  | {readonly type: "usage-saved"; readonly save: number; readonly ok: boolean}
  /** This box gives the lead up: it gives no more allowances. */
  | {readonly type: "usage-close"}
  /** A box asks for sends to servers that named rates, and tells of those before. */
  | {
      readonly type: "send-asks"
      readonly box: string
      readonly asks: readonly SendAsk[]
    }
  | {
      readonly type: "sent-lately"
      readonly box: string
      readonly sent: readonly SentLately[]
    }
  | {readonly type: "box-gone"; readonly box: string}
  | {
      readonly type: "report"
      readonly engine: string
      readonly report: EngineReport | undefined
    }
  /** A server answered under the name of the engine that is not in the life that was asked. */
  | {readonly type: "life-over"; readonly engine: string}
  | {readonly type: "order-result"; readonly engine: string; readonly result: OrderResult}

export type RoutedEvent = ServingEvent | FleetEvent
export type RoutedEffect = BoxEffect | FleetEffect | LedgerEffect
