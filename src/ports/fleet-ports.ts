/**
 * Interfaces of a routed box to its platform: the formats of headers, orders, reports and
 * stored entries.
 */
import type {IncomingHttpHeaders} from "node:http"
import type {BackendRecord, FleetConfig, SharedPrefix, Weights} from "../types/fleet.js"
import type {EngineReport, FleetOrder, OrderResult} from "../core/placement-state.js"
import type {ServerNotice} from "../core/server-notices.js"
import type {KvEntry} from "./ports.js"

/** Data from the headers of a caller's request. */
export interface RequestFacts {
  /** Id of the request, set by the caller. */
  readonly requestId: string
  /** How long the caller will wait. Infinity if unknown. */
  readonly deadlineMs: number
  readonly weights?: Weights
  /** Prompt tokens. */
  readonly tokens: number
  /** Prompt and output tokens, as estimated by the caller. Undefined if unknown. */
  readonly usage?: number
  /** Output tokens, as estimated by the caller. Undefined if it told nothing sensible. */
  readonly outputTokens?: number
  /** Digest of the caller's API key. Undefined if there is none. */
  readonly key?: string
  readonly prefix?: SharedPrefix
  /** Identifiers of the parts of the prompt that other requests may share, in order. */
  readonly parts?: readonly string[]
  readonly lastEventId?: string
  /** Id of the earlier request that brought the first event of the resumed stream. */
  readonly begunBy?: string
}

/** Data that a box adds to a request to a backend server. */
export interface SendFacts {
  /** Name of the server, the same for all its incarnations. */
  readonly server: string
  readonly deadlineMs: number
  readonly priority: number
  readonly expectedVersion: number | undefined
  readonly lastEventId: string | undefined
  /** Undefined if the organisation is unknown. */
  readonly organisation: string | undefined
}

/** Data from the head of a backend server's answer. */
export interface AnswerFacts {
  /** Why the backend server did not run the request. Undefined if it may have run. */
  readonly notRun: "refused" | "misplaced" | undefined
  /** Id of the answered request. Answers to other requests are not forwarded. */
  readonly requestId: string | undefined
  /** Whether the backend server itself sent the answer, so that it may be forwarded. */
  readonly isGenuine: boolean
  /** Undefined if there is none or another server than the target answered. */
  readonly notice: ServerNotice | undefined
}

/** A call to an engine. */
export interface EngineCall {
  readonly method: "GET" | "POST"
  readonly path: string
  readonly headers: readonly string[]
  readonly body?: string
}

/** Protocol of callers and backend servers. Header lists alternate names and values. */
export interface Dialect {
  readRequest(headers: IncomingHttpHeaders): RequestFacts
  /** Returns the headers for the backend server. `headers` are those of the caller. */
  writeRequest(headers: readonly string[], facts: SendFacts): string[]
  readAnswer(status: number, headers: ReadonlyMap<string, string>): AnswerFacts
  /** Returns the headers of an answer by the box itself. */
  ownAnswerHeaders(requestId: string): Readonly<Record<string, string>>
  writeOrder(
    server: string,
    order: FleetOrder,
    holder: string,
    fence: number,
    expectedSequence: number,
    requestId: string
  ): EngineCall
  readOrderResult(status: number): OrderResult
  /** Reads the notice in an engine's answer to an order or report request, if any. */
  readNotice(
    status: number,
    headers: ReadonlyMap<string, string>
  ): ServerNotice | undefined
  writeReportRequest(server: string, requestId: string): EngineCall
  readReport(body: string): EngineReport
}

/**
 * Parsers of the entries that the platform stores in the key-value service. Others can
 * write there, too. Parsers throw `UnreadableEntry` if an entry is invalid for its key.
 */
export interface FleetRecords {
  readonly configKey: string
  /** Prefix of the configuration and of adapter versions. */
  readonly operatorPrefix: string
  readonly backendPrefix: string
  /** Undefined if it is another key than that of the routing configuration. */
  readConfig(key: string, value: string): FleetConfig | undefined
  /** Undefined if it is another key than that of an adapter's newest version. */
  readVersion(
    key: string,
    value: string
  ): readonly [adapter: string, version: number] | undefined
  readBackend(entry: KvEntry): BackendRecord
}
