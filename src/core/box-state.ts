/** The state from which a box decides how to serve its requests. */
import type {WeightsRequest, EngineUseDelta} from "../types/box-messages.js"
import type {BackendRecord, Route, SharedPrefix, Weights} from "../types/fleet.js"
import type {DemandRow} from "../types/load-messages.js"
import type {AdapterVersions} from "./adapter-versions.js"
import {Admission} from "./admission.js"
import {createBackendList, type BackendList} from "./backend-list.js"
import type {AnswerEnd} from "./answer-end.js"
import type {AttemptFailure} from "./box-attempt-failures.js"
import type {EngineView} from "./box-engines.js"
import {createHolderIndex, type HolderIndex} from "./box-holders.js"
import {PrefixHistory} from "./prefix-history.js"
import {INITIAL_PREFILL_RATE} from "./prefill-rate.js"
import type {UsageOptions} from "./usage-limits.js"
import {ClearedRequests} from "./cleared-requests.js"
import {RetryBudget, type RetryBudgetOptions} from "./rate-windows.js"
import type {RouteTable} from "./route-table.js"
import {RouteTimes} from "./route-times.js"
import type {KnownEra} from "./eras.js"
import type {StopTimes} from "./stop-times.js"
import {type Charge, AllowancePool} from "./allowance-pool.js"
import {RecentSends} from "./recent-sends.js"
import {SendAllowances} from "./send-allowances.js"
import {ServerRates} from "./server-rates.js"
import {PeerPaths} from "./peer-paths.js"
import {PlainServers} from "./plain-servers.js"
import type {SharingBoxes} from "./server-connections.js"
import {ServerReach} from "./server-reach.js"
import {ServiceVersions} from "./service-versions.js"
import {type OriginReport, StreamOrigins} from "./stream-origins.js"
import {CrashList} from "./crash-list.js"
import {CrashWatch} from "./crash-watch.js"
import type {CrashUpdate} from "../types/crash-messages.js"
import type {AllowanceRequest} from "../types/usage-messages.js"
import type {
  RateReport,
  SendAllowanceRequest,
  SentCounts
} from "../types/rate-messages.js"

/** A request as received from the caller. */
export interface Arrival {
  /** Unique within this box. */
  readonly id: string
  /** The caller's request id, for logs. */
  readonly name: string
  /** Equal for requests of the same caller, path and body. Undefined if not known. */
  readonly fingerprint?: string
  /** Fingerprints of the parts of its prompt that other requests may share. */
  readonly parts?: readonly string[]
  readonly route: Route
  readonly service: string
  readonly weights?: Weights
  /** Prompt tokens. */
  readonly tokens: number
  /** Size of the body. Undefined if not known. */
  readonly bytes?: number | undefined
  /** Digest of the caller's key. Undefined if it sent none. */
  readonly key?: string
  /** Holder of the key. Undefined if the request has no owner and needs none. */
  readonly organisation?: string
  /**
   * Prompt and completion tokens that the caller declares. Undefined if it declares none.
   */
  readonly usage?: number
  /** Output tokens, as estimated by the caller. Undefined if it estimated none. */
  readonly outputTokens?: number
  /** Priority at engines; 0 is the most urgent. */
  readonly rank: number
  readonly prefix?: SharedPrefix
  /** Time left until the caller's deadline. */
  readonly deadlineMs: number
  /** Resumes the stream of an earlier request after this event. */
  readonly lastEventId?: string
  /** Name of the request that brought the first event of that stream, if it is known. */
  readonly begunBy?: string
}

/** One send of a request to a backend server. */
export interface Attempt {
  readonly number: number
  readonly backend: string
  /**
   * Address of the box that sends it on behalf of this one. Undefined if this box sends
   * it over its own connection.
   */
  readonly via: string | undefined
  sentAt: number
  /** Adapter version to run on. Undefined if no adapter is requested, 0 if not known. */
  readonly version: number | undefined
  /** Version of the server's software. */
  readonly software: string
  /** Estimated prompt tokens that the engine still has to prefill. */
  readonly uncachedTokens: number
  /** Whether bytes may have been sent, so that the request may run. */
  started: boolean
  /** When the last bytes of its answer arrived. Undefined until the first arrive. */
  lastByteAt: number | undefined
  /** When the first bytes of its answer arrived. */
  firstByteAt: number | undefined
  /** When bytes of its answer last arrived. */
  progressedAt: number | undefined
  /** For how long its server was seen to go on with its answer (ms). */
  progressMs: number
  /** Whether its server is known to survive the parts of the prompt. */
  hasOutlivedParts: boolean
  /** Whether the box itself has stopped reading its answer, for a while at least. */
  heldUp: boolean
  headReceived: boolean
  /** Whether its answer is an error of the server. */
  isError: boolean
  /**
   * Time from sending to the head of its answer (ms). Undefined before, and if the head
   * reports a failure.
   */
  latencyMs: number | undefined
  /** When the leader was last asked to allow a move from a silent server. */
  moveRequestedAt: number | undefined
  /** When another server was last tried, as this attempt's server was silent. */
  hedgedAt: number | undefined
  /** Whether another attempt would replace it if its organisation's allowance sufficed. */
  needsAllowance: boolean
  /** Whether its connection is closed. */
  aborted: boolean
  /**
   * Charge to its organisation's allowances. Undefined if nothing was charged or the
   * charge was refunded.
   */
  charge: Charge | undefined
  /** How the bytes of its answer ended. Undefined until they have. */
  answerEnd: AnswerEnd | undefined
  /**
   * Latest time to send its bytes under the allowance of a rate-limited server. Undefined
   * if the server advertised no rate limit.
   */
  allowedUntil: number | undefined
}

/** The state of a request that only rate-limited servers could take. */
export interface PacedWait {
  /**
   * Server whose allowance it waits for. Undefined if no allowance can arrive in time.
   */
  readonly server: string | undefined
  readonly since: number
}

/** A request in progress. */
export interface BoxRequest {
  /** Replaced if a newer configuration assigns its key to an organisation. */
  arrival: Arrival
  arrivedAt: number
  /** The caller's deadline or the route's time limit, whichever is earlier. */
  deadlineAt: number
  /** Until when it may wait to be sent if its box is stopping. Infinity if it is not. */
  stopHoldUntil: number
  /** When its caller last got bytes of a stream. Undefined if it got none. */
  heardAt: number | undefined
  attempt: Attempt | undefined
  /**
   * An earlier attempt whose server is silent. It stays open until another attempt is
   * answered, and goes on if its server does. Undefined if there is none.
   */
  silentAttempt: Attempt | undefined
  attempts: number
  /** Attempts that are known not to have reached a backend server. */
  unsent: number
  /** Other boxes that did not send it on. */
  peerRefusals: number
  /** Backend servers to which this box could not open a connection for it. */
  readonly failedPaths: Set<string>
  /** Attempts that may have run. */
  runs: number
  /** Attempts that backend servers refused without running them. */
  refusals: number
  /** How its last attempt failed. Undefined if none did. */
  lastFailure: AttemptFailure | undefined
  /** Why it was last retried although it may have run. Empty if it was not. */
  retriedAfter: string
  /** Backend servers that are not retried before these times. */
  readonly avoided: Map<string, number>
  /** Backend servers that failed it, except those whose weights were only late. */
  readonly failedBackends: Set<string>
  /** Until when it waits for a faster engine. Undefined if it has not waited for one. */
  fasterUntil: number | undefined
  /** Whether the leader has a weights request for it. */
  weightsRequested: boolean
  /** When the leader was asked for a retry. Undefined if no answer is pending. */
  retryRequestedAt: number | undefined
  /** Since when it waits for a usage allowance. Undefined if it does not wait for one. */
  allowanceRequestedAt: number | undefined
  /** Undefined if no server's rate limit has held it back. */
  paced: PacedWait | undefined
  /**
   * Whether the leader granted its next retry, which then does not count against this
   * box's own budget.
   */
  hasRetryGrant: boolean
  /**
   * Whether it is sent although it is quarantined, to test if it crashes another server.
   */
  isTrial: boolean
  /** Whether the head of an answer was sent to the caller. */
  answerStarted: boolean
  /** Whether events of a stream were sent to the caller. */
  hasEvents: boolean
  /** The software version that began the stream. Undefined if any may serve it. */
  software: string | undefined
  /**
   * When other boxes were asked where the stream began. Undefined if no answer is pending.
   */
  originAskedAt: number | undefined
  lastEventId: string | undefined
}

export interface BoxOptions {
  /** The incarnation under which leaders know this box. */
  readonly incarnation?: string | undefined
  readonly dataCentre: string
  readonly retry: RetryBudgetOptions
  /** How long a new leader waits before its first order. */
  readonly handoverMs: number
  /** A random number in [0, 1). */
  readonly random: () => number
  /**
   * How long any box may accept a key after its revocation was acknowledged. Undefined if
   * boxes without a connection may accept it without limit.
   */
  readonly takenAwayMs?: number | undefined
  /** Defaults to `DEFAULT_USAGE`. */
  readonly usage?: UsageOptions | undefined
  /** Longest time from a stop request to the end of the process. Defaults to no limit. */
  readonly graceMs?: number | undefined
}

/** A request in progress that this box sends for another one. */
export interface CarriedRequest {
  readonly backend: string
  readonly fingerprints: readonly string[]
}

export interface BoxServing {
  readonly options: BoxOptions
  table: RouteTable | undefined
  backends: BackendList
  /**
   * When the snapshot of backend servers was last as recent as can be had. Undefined if
   * no source has reported that.
   */
  snapshotAt: number | undefined
  /**
   * When the snapshot of this box was read from the key-value service, or earlier.
   * Undefined if it never was.
   */
  readAt: number | undefined
  /** Undefined if the key-value service reports no era. */
  era: KnownEra | undefined
  /** `readAt` when the era last went up. Undefined if there was no store read before. */
  readBeforeEra: number | undefined
  /**
   * When the configuration in force here was read from the key-value service, or earlier.
   * Undefined if it never was.
   */
  configReadAt: number | undefined
  /**
   * `configReadAt` when the era last went up. Undefined if there was no such store read.
   */
  configReadBeforeEra: number | undefined
  readonly engines: Map<string, EngineView>
  readonly holderIndex: HolderIndex
  /** Prefill rate of an engine, as last received from the leader. */
  prefillTokensPerMs: number
  /**
   * Time that a load of an adapter takes at least, as last received from the leader. 0 if
   * it never was.
   */
  leastLoadMs: number
  /**
   * Adapters that each engine held recently, newest last. A new leader starts from them.
   */
  readonly recentAdapters: Map<string, Map<string, number>>
  readonly versions: Map<string, AdapterVersions>
  readonly requests: Map<string, BoxRequest>
  /**
   * Ended incarnations of backend servers, with the time at which their attempts are
   * aborted.
   */
  readonly endedIncarnations: Map<string, number>
  /** Number of requests of this box in progress at each backend server. */
  readonly inProgress: Map<string, number>
  /**
   * Backend servers that failed recently, with the time until which others are preferred.
   */
  readonly suspectUntil: Map<string, number>
  /** Until when servers that requested a back-off get no requests from this box. */
  readonly backoffUntil: Map<string, number>
  /**
   * Servers that have not answered since their last back-off, with the time of the last
   * send of this box after it; -Infinity before.
   */
  readonly reopening: Map<string, number>
  /** Rate limits that servers advertise for all boxes together. */
  readonly advertisedRates: ServerRates
  /** The last unreadable notice of each server, kept so that each is logged once. */
  readonly unreadableNotices: Map<string, string>
  /** Allowances of this box for sends to rate-limited servers. */
  readonly sendAllowances: SendAllowances
  /** Recent sends of this box to each backend server. */
  readonly recentSends: RecentSends
  /** Speed and shares of the servers of services without engines. */
  readonly plainServers: PlainServers
  /** Which backend servers this box reaches. */
  readonly reach: ServerReach
  /** Other boxes that can send requests to servers that this box does not reach. */
  readonly peers: PeerPaths
  /** Requests that crash backend servers, as reported by all boxes. */
  readonly crashes: CrashList
  readonly crashWatch: CrashWatch
  /** Requests that this box sends for others. Those boxes decide everything else. */
  readonly carried: Map<string, CarriedRequest>
  /** Requests that servers have answered and outlived, as this box observed. */
  readonly clearedRequests: ClearedRequests
  readonly retryBudgets: Map<string, RetryBudget>
  /** Usage allowances of organisations that this box holds. */
  readonly usageAllowances: AllowancePool
  readonly prefixes: PrefixHistory
  /** Admission of new requests while engines have no free places. */
  readonly admission: Admission
  /** Software versions of each service's servers. */
  readonly serviceVersions: ServiceVersions
  /** The longest time limit of a route that any configuration here has had (ms). */
  longestTimeoutMs: number
  /** Where streams began, of this box and as reported by others. */
  readonly origins: StreamOrigins
  /** The order of the engines in load reports, which carry no names. */
  engineOrder: readonly string[]
  isLeader: boolean
  hasLeader: boolean
  /** When a leader is expected to start ordering loads. */
  ordersFrom: number
  /** Number of boxes that share budgets. */
  boxCount: number
  sharingBoxes: SharingBoxes
  /** Total time of suspensions that the clock of the box has counted. */
  suspendedMs: number
  /** Undefined unless the box was asked to stop. */
  stop: StopTimes | undefined
  readonly routeTimes: RouteTimes
  effects: BoxEffect[]
}

export type EndReason =
  /** It has not run and will not. */
  | "not-run"
  /** It may have run. */
  | "unknown"
  /** Its deadline passed; it may have run. */
  | "timeout"
  /**
   * Its key was revoked, or its route began to require one, while it waited; it has not
   * run and will not.
   */
  | "denied"
  /** Its organisation has reached its limit; it has not run and will not. */
  | "over-limit"
  /** It crashes backend servers; this submission of it has not run and will not. */
  | "crashes-servers"

export type BoxEffect =
  | {
      readonly type: "send"
      readonly id: string
      readonly attempt: number
      readonly backend: BackendRecord
      /** Address of the box that is to send it. Undefined means this box. */
      readonly via: string | undefined
      readonly expectedVersion: number | undefined
      readonly deadlineMs: number
    }
  /** Forwards the answer of the attempt to the caller. */
  | {readonly type: "pass"; readonly id: string; readonly attempt: number}
  /** Closes the attempt's connection. */
  | {readonly type: "abort"; readonly id: string; readonly attempt: number}
  /** Reads the attempt's answer to its end and discards it. */
  | {readonly type: "discard"; readonly id: string; readonly attempt: number}
  | {
      readonly type: "end"
      readonly id: string
      readonly reason: EndReason
      readonly retryAfterMs: number
    }
  /** Cuts the caller's connection, since the partial answer must not look complete. */
  | {readonly type: "cut"; readonly id: string}
  /** Requests a retry from the leader. */
  | {readonly type: "ask-retry"; readonly id: string; readonly service: string}
  /** Reports the usage of organisations to the leader and requests allowances. */
  | {
      readonly type: "usage"
      readonly ask: number
      readonly entries: readonly AllowanceRequest[]
    }
  /**
   * Reports a server's rate limit to the leader, or to all boxes if this box is the
   * leader.
   */
  | {readonly type: "rate-news"; readonly news: RateReport}
  /** Requests allowances for sends to rate-limited servers. */
  | {readonly type: "send-asks"; readonly asks: readonly SendAllowanceRequest[]}
  /** Reports recent sends to rate-limited servers to the leader. */
  | {readonly type: "sent-lately"; readonly sent: readonly SentCounts[]}
  /** Reports demand for services under admission control to the leader. */
  | {readonly type: "demand"; readonly rows: readonly DemandRow[]}
  /** Asks other boxes where a stream began. `stream` is empty if it has no key. */
  /** Read which software versions a leader stored. */
  | {readonly type: "read-versions"}
  | {
      readonly type: "ask-origin"
      readonly id: string
      readonly stream: string
      readonly service: string
    }
  /** Reports where streams began to other boxes. */
  | {readonly type: "tell-origins"; readonly origins: readonly OriginReport[]}
  | {readonly type: "need"; readonly need: WeightsRequest}
  | {readonly type: "drop"; readonly request: string}
  | {readonly type: "use"; readonly change: EngineUseDelta}
  /** Discards changes that were not sent: a new leader is told all attempts instead. */
  | {readonly type: "discard-uses"}
  | {
      readonly type: "missing"
      readonly engine: string
      readonly adapter: string
      readonly late: boolean
    }
  /** Tests whether the server's address accepts a connection. */
  | {readonly type: "probe"; readonly backend: BackendRecord}
  /** As above, to find out whether this box reaches the server. */
  | {readonly type: "check-path"; readonly backend: BackendRecord}
  /** Reports requests that crash servers to other boxes. */
  | {readonly type: "crashes"; readonly changes: CrashUpdate}
  | {readonly type: "note"; readonly event: BoxLogEvent; readonly fields: LogFields}

/** The log events that a box's decisions raise. */
export type BoxLogEvent =
  | "route-sent"
  | "route-refused"
  | "route-again"
  | "route-owned"
  | "route-silent"
  | "route-hedged"
  | "hedge-ended"
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
  | "server-unreached"
  | "server-reached"
  | "stream-resumed"
  | "stream-refused"
  | "versions-mixed"
  | "versions-read"
  | "usage-taken-over"
  | "plain-server-slow"
  | "plain-server-restored"
  | "route-overloaded"

export type LogFields = Readonly<Record<string, string | number | boolean>>

/** Creates the state of a box that has no configuration yet. */
export function createBoxServing(options: BoxOptions): BoxServing {
  return {
    options,
    table: undefined,
    backends: createBackendList(),
    snapshotAt: undefined,
    readAt: undefined,
    era: undefined,
    readBeforeEra: undefined,
    configReadAt: undefined,
    configReadBeforeEra: undefined,
    engines: new Map(),
    holderIndex: createHolderIndex(),
    prefillTokensPerMs: INITIAL_PREFILL_RATE,
    leastLoadMs: 0,
    recentAdapters: new Map(),
    versions: new Map(),
    requests: new Map(),
    endedIncarnations: new Map(),
    inProgress: new Map(),
    suspectUntil: new Map(),
    backoffUntil: new Map(),
    reopening: new Map(),
    advertisedRates: new ServerRates(),
    unreadableNotices: new Map(),
    sendAllowances: new SendAllowances(),
    recentSends: new RecentSends(),
    plainServers: new PlainServers(),
    reach: new ServerReach(),
    peers: new PeerPaths(),
    crashes: new CrashList(),
    crashWatch: new CrashWatch(),
    carried: new Map(),
    clearedRequests: new ClearedRequests(),
    retryBudgets: new Map(),
    usageAllowances: new AllowancePool(options.usage),
    boxCount: 1,
    sharingBoxes: {count: 1, reportedAt: -Infinity},
    engineOrder: [],
    isLeader: false,
    hasLeader: false,
    ordersFrom: 0,
    prefixes: new PrefixHistory(),
    admission: new Admission(options.random),
    serviceVersions: new ServiceVersions(),
    longestTimeoutMs: 0,
    origins: new StreamOrigins(),
    suspendedMs: 0,
    stop: undefined,
    routeTimes: new RouteTimes(),
    effects: []
  }
}

/** Returns the queued effects and clears the queue. */
export function drainEffects(box: BoxServing): readonly BoxEffect[] {
  const {effects} = box
  box.effects = []
  return effects
}

/** Returns the attempts of a request that are in progress. */
export function openAttempts({attempt, silentAttempt}: BoxRequest): Attempt[] {
  return [attempt, silentAttempt].filter(each => each !== undefined)
}

/** Queues a log event. */
export function logEvent(box: BoxServing, event: BoxLogEvent, fields: LogFields): void {
  box.effects.push({type: "note", event, fields})
}

/** Returns the retry budget of a service. */
export function retryBudgetOf(box: BoxServing, service: string): RetryBudget {
  const known = box.retryBudgets.get(service)
  if (known) return known
  const budget = new RetryBudget(box.options.retry)
  box.retryBudgets.set(service, budget)
  return budget
}
