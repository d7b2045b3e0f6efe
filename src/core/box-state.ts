/** The state of a box's requests, and what its decisions are made from. */
import type {Need, UseChange} from "../types/box-messages.js"
import type {BackendRecord, Route, SharedPrefix, Weights} from "../types/fleet.js"
import type {AdapterVersions} from "./adapter-versions.js"
import {createBackendList, type BackendList} from "./backend-list.js"
import type {EngineView} from "./box-places.js"
import {PrefixMemory} from "./prefix-memory.js"
import {FIRST_RATE} from "./reading-rate.js"
import type {UsageOptions} from "./usage-limits.js"
import {Survivors} from "./survivors.js"
import {RetryBudget, type RetryBudgetOptions} from "./rate-windows.js"
import type {RouteTable} from "./route-table.js"
import type {KnownEra} from "./eras.js"
import {type Charge, UsageStock} from "./usage-stock.js"
import {RecentSends} from "./recent-sends.js"
import {SendAllowances} from "./send-allowances.js"
import {ServerRates} from "./server-rates.js"
import {CrashList} from "./crash-list.js"
import {CrashWatch} from "./crash-watch.js"
import type {CrashChanges} from "../types/crash-messages.js"
import type {AllowanceAsk} from "../types/usage-messages.js"
import type {RateNews, SendAsk, SentLately} from "../types/rate-messages.js"

/** A request as it came in. */
export interface Arrival {
  /** Unique in this box. */
  readonly id: string
  /** The caller's name of the request, for logs. */
  readonly name: string
  /** Alike for requests of the same caller, path and body; undefined: not known. */
  readonly fingerprint?: string
  readonly route: Route
  readonly service: string
  readonly weights?: Weights
  /** Prompt tokens. */
  readonly tokens: number
  /** Digest of the caller's key; undefined: it sent none. */
  readonly key?: string
  /** Whose key it is; undefined: nobody's, and none is needed. */
  readonly organisation?: string
  /** Tokens read and made, as the caller tells; undefined: it does not. */
  readonly usage?: number
  /** The rank at engines, 0 is the most urgent. */
  readonly rank: number
  readonly prefix?: SharedPrefix
  /** What the caller still waits, milliseconds. */
  readonly deadlineMs: number
  /** Resumes a stream of an earlier request after this event. */
  readonly lastEventId?: string
}

/** One send of a request to a backend server. */
export interface Attempt {
  readonly number: number
  readonly backend: string
  sentAt: number
  /** Version of the adapter that it is to run on; undefined: none is asked for, 0: not known. */
  readonly version: number | undefined
  /** Prompt tokens that the backend server is believed to have to read. */
  readonly unread: number
  /** Bytes may have left: it may run. */
  started: boolean
  /** Bytes of its answer came; the time of the last. */
  heardAt: number | undefined
  /** When the first bytes of its answer came. */
  firstAt: number | undefined
  headed: boolean
  /** Its connection was told to close. */
  aborted: boolean
  /** What it was charged of its organisation's allowances; undefined: nothing, or it was given back. */
  charge: Charge | undefined
  /** Its bytes must have left by then, where its server named a rate; undefined: it had named none. */
  allowedUntil: number | undefined
}

/** A request could go only to servers that named rates. */
export interface Paced {
  /** Whose allowance it waits for; undefined: none can come in time. */
  readonly server: string | undefined
  readonly since: number
}

/** A request in progress. */
export interface BoxRequest {
  readonly arrival: Arrival
  arrivedAt: number
  /** The caller's deadline or the route's time limit, whichever is first. */
  giveUpAt: number
  /** Until when it waits for weights or a backend server. */
  holdUntil: number
  attempt: Attempt | undefined
  attempts: number
  /** Attempts that may have run. */
  runs: number
  /** Attempts refused by backend servers without running. */
  refusals: number
  /** Backend servers not to be tried again, until these times. */
  readonly avoided: Map<string, number>
  /** Backend servers that failed it, and not merely were late with their weights. */
  readonly failedAt: Set<string>
  /** The leader was told that it waits. */
  needed: boolean
  /** When the leader was asked whether it may be sent once more; undefined: it need not be. */
  askedAt: number | undefined
  /** Since when it waits for an allowance; undefined: it does not. */
  chargeAsked: number | undefined
  /** Undefined: it was not held back by a server's rate. */
  paced: Paced | undefined
  /** The leader gave it a repeat, which is not one of this box's own. */
  granted: boolean
  /** It is let through though it is stopped, to see whether it crashes another server. */
  trial: boolean
  /** The head of an answer went to the caller. */
  replied: boolean
  lastEventId: string | undefined
}

export interface BoxOptions {
  readonly dataCentre: string
  readonly retry: RetryBudgetOptions
  /** How long a new leader waits before its first order, milliseconds. */
  readonly handoverMs: number
  /** A random number in [0, 1). */
  readonly random: () => number
  /**
   * A key that was taken away may be used for so long after that was acknowledged, by any box,
   * milliseconds; undefined: boxes that are cut off may go on.
   */
  readonly takenAwayMs?: number | undefined
  /** Undefined: `DEFAULT_USAGE`. */
  readonly usage?: UsageOptions | undefined
}

export interface BoxServing {
  readonly options: BoxOptions
  table: RouteTable | undefined
  backends: BackendList
  /** When the news of servers was as new as it can be had; undefined: nobody says. */
  newsAt: number | undefined
  /** When the store was read for what this box knows, or before; undefined: it never was. */
  readAt: number | undefined
  /** The era of the store; undefined: it tells none. */
  era: KnownEra | undefined
  /** `readAt` as the era rose; undefined: the store was not read before. */
  readBeforeEra: number | undefined
  /** When the store was read for the configuration in force here, or before; undefined: it never was. */
  configReadAt: number | undefined
  /** The same as the era rose. */
  configReadBeforeEra: number | undefined
  readonly engines: Map<string, EngineView>
  /** What an engine reads in a millisecond, as the leader told last. */
  tokensPerMs: number
  /** Adapters that each engine held lately, newest last: what a new leader begins with. */
  readonly held: Map<string, Map<string, number>>
  readonly versions: Map<string, AdapterVersions>
  readonly requests: Map<string, BoxRequest>
  /** Lives of backend servers that are over, and when what still runs there ends. */
  readonly endedLives: Map<string, number>
  /** Requests in progress at each backend server, of this box. */
  readonly busy: Map<string, number>
  /** Backend servers that failed lately, and until when others go first. */
  readonly suspects: Map<string, number>
  /** Until when servers that asked this box for rest are left alone. */
  readonly rests: Map<string, number>
  /** What servers take from all boxes together. */
  readonly rates: ServerRates
  /** What servers said that could not be read, the last of each: it is logged once. */
  readonly unreadable: Map<string, string>
  /** What this box may send to servers that named rates, and what it sent to any. */
  readonly allowances: SendAllowances
  readonly recentSends: RecentSends
  /** Requests that backend servers crash under, as all boxes know it. */
  readonly crashes: CrashList
  readonly crashWatch: CrashWatch
  /** Requests that crash none, as far as this box saw. */
  readonly survivors: Survivors
  readonly budgets: Map<string, RetryBudget>
  /** What organisations may use here. */
  readonly stock: UsageStock
  readonly prefixes: PrefixMemory
  /** The engines in the order in which loads are told. */
  loadOrder: readonly string[]
  /** This box leads. */
  leads: boolean
  /** Whether a leader is known, and from when one is believed to order loads. */
  led: boolean
  ordersFrom: number
  /** Boxes that share budgets and connections. */
  boxes: number
  /** How much of the time of the box its steady clock did not count, milliseconds. */
  suspendedMs: number
  /** When the box was asked to stop; undefined: it was not. */
  stoppingAt: number | undefined
  effects: BoxEffect[]
}

/** Why a request ends without a backend server's answer. */
export type EndReason =
  /** It has not run and never will. */
  | "not-run"
  /** It may have run. */
  | "unknown"
  /** Its time is over; it may have run. */
  | "timeout"
  /** Its key was taken away while it waited; it has not run and never will. */
  | "denied"
  /** Its organisation has used its limit; it has not run and never will. */
  | "over-limit"
  /** Backend servers crash under it; in this try it has not run and never will. */
  | "crashes-servers"

export type BoxEffect =
  | {
      readonly type: "send"
      readonly id: string
      readonly attempt: number
      readonly backend: BackendRecord
      readonly expectedVersion: number | undefined
      readonly deadlineMs: number
    }
  /** Passes the answer of the attempt on. */
  | {readonly type: "pass"; readonly id: string; readonly attempt: number}
  /** Ends the attempt's connection. */
  | {readonly type: "abort"; readonly id: string; readonly attempt: number}
  /** Reads the attempt's answer to its end and drops it. */
  | {readonly type: "discard"; readonly id: string; readonly attempt: number}
  | {
      readonly type: "end"
      readonly id: string
      readonly reason: EndReason
      readonly retryAfterMs: number
    }
  /** Cuts the caller's connection: what it got must not look whole. */
  | {readonly type: "cut"; readonly id: string}
  /** Asks the leader whether the request may be sent once more. */
  | {readonly type: "ask-retry"; readonly id: string; readonly service: string}
  /** Tells the leader what organisations used, and asks for allowances. */
  | {
      readonly type: "usage"
      readonly ask: number
      readonly entries: readonly AllowanceAsk[]
    }
  /** Tells what a server takes from all boxes together: the leader, or all boxes where this one leads. */
  | {readonly type: "rate-news"; readonly news: RateNews}
  /** Asks the leader for sends to servers that named rates, and tells it of those before. */
  | {readonly type: "send-asks"; readonly asks: readonly SendAsk[]}
  | {readonly type: "sent-lately"; readonly sent: readonly SentLately[]}
  | {readonly type: "need"; readonly need: Need}
  | {readonly type: "drop"; readonly request: string}
  | {readonly type: "use"; readonly change: UseChange}
  | {
      readonly type: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** Looks whether the server's address takes a connection. */
  | {readonly type: "probe"; readonly backend: BackendRecord}
  /** Tells other boxes of requests that crash servers. */
  | {readonly type: "crashes"; readonly changes: CrashChanges}
  | {readonly type: "note"; readonly event: BoxNote; readonly fields: NoteFields}

/** The events of the catalogue that a box's decisions raise. */
export type BoxNote =
  | "route-sent"
  | "route-refused"
  | "route-again"
  | "attempt-broken"
  | "route-ended"
  | "route-cut"
  | "caller-left"
  | "backend-suspect"
  | "backend-usable"
  | "backend-unusable"
  | "backend-reborn"
  | "versions-named"
  | "old-version-begun"
  | "old-version-taken-back"
  | "era-kept"
  | "backend-leaves"
  | "backend-rests"
  | "notice-unreadable"
  | "rate-named"
  | "rate-ended"
  | "route-paced"
  | "server-crashed"
  | "request-stopped"
  | "request-tried"
  | "request-cleared"

export type NoteFields = Readonly<Record<string, string | number | boolean>>

/** A box that serves nothing yet. */
export function createBoxServing(options: BoxOptions): BoxServing {
  return {
    options,
    table: undefined,
    backends: createBackendList(),
    newsAt: undefined,
    readAt: undefined,
    era: undefined,
    readBeforeEra: undefined,
    configReadAt: undefined,
    configReadBeforeEra: undefined,
    engines: new Map(),
    tokensPerMs: FIRST_RATE,
    held: new Map(),
    versions: new Map(),
    requests: new Map(),
    endedLives: new Map(),
    busy: new Map(),
    suspects: new Map(),
    rests: new Map(),
    rates: new ServerRates(),
    unreadable: new Map(),
    allowances: new SendAllowances(),
    recentSends: new RecentSends(),
    crashes: new CrashList(),
    crashWatch: new CrashWatch(),
    survivors: new Survivors(),
    budgets: new Map(),
    stock: new UsageStock(),
    boxes: 1,
    loadOrder: [],
    leads: false,
    led: false,
    ordersFrom: 0,
    prefixes: new PrefixMemory(),
    suspendedMs: 0,
    stoppingAt: undefined,
    effects: []
  }
}

/** The effects that have come together, and none left. */
export function drainEffects(box: BoxServing): readonly BoxEffect[] {
  const {effects} = box
  box.effects = []
  return effects
}

/** Queues a numbered event. */
export function note(box: BoxServing, event: BoxNote, fields: NoteFields): void {
  box.effects.push({type: "note", event, fields})
}

/** The budget of repeated sends to a service. */
export function budgetOf(box: BoxServing, service: string): RetryBudget {
  const known = box.budgets.get(service)
  if (known) return known
  const budget = new RetryBudget(box.options.retry)
  box.budgets.set(service, budget)
  return budget
}
