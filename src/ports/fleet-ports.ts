/** What a routed box needs of the platform it stands on: its words, and nothing of its ways. */
import type {IncomingHttpHeaders} from "node:http"
import type {BackendRecord, FleetConfig, SharedPrefix, Weights} from "../types/fleet.js"
import type {EngineReport, FleetOrder, OrderResult} from "../core/placement-state.js"
import type {ServerNotice} from "../core/server-notices.js"
import type {KvEntry} from "./ports.js"

/** What a caller's request says of itself. */
export interface RequestFacts {
  /** The caller's name of the request. */
  readonly name: string
  /** What the caller still waits, milliseconds; Infinity: not told. */
  readonly deadlineMs: number
  readonly weights?: Weights
  /** Prompt tokens. */
  readonly tokens: number
  /** Tokens read and made, as far as the caller tells; undefined: it does not. */
  readonly usage?: number
  /** Digest of the caller's key; undefined: it sent none. */
  readonly key?: string
  readonly prefix?: SharedPrefix
  readonly lastEventId?: string
}

/** What a box adds to a request for a backend server. */
export interface SendFacts {
  /** The server's name, alike for all its lives. */
  readonly server: string
  readonly deadlineMs: number
  readonly priority: number
  readonly expectedVersion: number | undefined
  readonly lastEventId: string | undefined
  /** Whose request it is; undefined: nobody's that is known. */
  readonly organisation: string | undefined
}

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  /** The backend server's word that it did not run the request. */
  readonly notRun: "refused" | "misplaced" | undefined
  /** The request it answers; an answer to another one belongs to nobody. */
  readonly name: string | undefined
  /** It is the backend server's own answer. */
  readonly genuine: boolean
  /** What the backend server says of itself; undefined: nothing, or it is another than was asked. */
  readonly notice: ServerNotice | undefined
}

/** A call to an engine. */
export interface EngineCall {
  readonly method: "GET" | "POST"
  readonly path: string
  readonly headers: readonly string[]
  readonly body?: string
}

/** The words of callers and backend servers. Headers are flat lists of names and values. */
export interface Dialect {
  readRequest(headers: IncomingHttpHeaders): RequestFacts
  /** The headers of a send, from those that came. */
  writeRequest(headers: readonly string[], facts: SendFacts): string[]
  readAnswer(status: number, headers: ReadonlyMap<string, string>): AnswerFacts
  /** The headers of an answer of the box's own. */
  ownAnswer(name: string): Readonly<Record<string, string>>
  writeOrder(
    server: string,
    order: FleetOrder,
    holder: string,
    fence: number,
    expectedSequence: number
  ): EngineCall
  readOrderResult(status: number): OrderResult
  /** What an engine says of itself as it answers an order or a question; undefined: nothing. */
  readNotice(
    status: number,
    headers: ReadonlyMap<string, string>
  ): ServerNotice | undefined
  askReport(server: string): EngineCall
  readReport(body: string): EngineReport
}

/**
 * What the key-value service holds for the boxes, as its owner writes it. Others may write there, too:
 * each reader throws `UnreadableEntry` where an entry is not what its key promises.
 */
export interface FleetRecords {
  /** The key of the configuration. */
  readonly configKey: string
  /** The prefix of configuration and versions. */
  readonly operatorPrefix: string
  readonly backendPrefix: string
  /** The routing configuration, if the key is its. */
  readConfig(key: string, value: string): FleetConfig | undefined
  /** The newest version of an adapter, if the key names one. */
  readVersion(
    key: string,
    value: string
  ): readonly [adapter: string, version: number] | undefined
  readBackend(entry: KvEntry): BackendRecord
}
