/** Forwards requests to backend servers and resumes broken streams. */
import {Agent, type Dispatcher} from "undici"
import type {BackendResult} from "../core/entry-state.js"
import type {Exchange} from "./exchange.js"
import {type RelayEnd, RelayHandler, type RelayMeasures} from "./relay-handler.js"
import {buildResetConnector} from "./reset-connector.js"

export interface RelayTarget {
  readonly address: string
  readonly attempt: string
  readonly fence: number
  readonly grant: number
  readonly entry: string
  /** A silent stream counts as lost after this time. 0 means never. */
  readonly idleMs: number
}

const CONNECT_TIMEOUT_MS = 2_000
const KEEP_ALIVE_MS = 4_000
const RESUME_HEADERS_TIMEOUT_MS = 2_000
/** Results of attempts that did not run. */
const NOT_RUN_RESULTS: ReadonlySet<BackendResult> = new Set([
  "not-sent",
  "not-loaded",
  "refused",
  "stale-grant"
])

const connect = buildResetConnector(CONNECT_TIMEOUT_MS)

export class Relay {
  private readonly agent_ = new Agent({
    connect,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: -1
  })
  /**
   * One connection per request. A reused one may break so that the outcome is unknown.
   */
  private readonly freshAgent_ = new Agent({
    connect,
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0
  })

  /** Starts an attempt. Calls `end` once. */
  send(
    exchange: Exchange,
    target: RelayTarget,
    measures: RelayMeasures,
    end: RelayEnd
  ): void {
    const agent = exchange.arrival.repeatable ? this.agent_ : this.freshAgent_
    agent.dispatch(
      {
        origin: `http://${target.address}`,
        path: exchange.path,
        method: exchange.method as Dispatcher.HttpMethod,
        headers: {
          ...exchange.headers,
          "x-request-id": target.attempt,
          "x-sedge-entry": target.entry,
          "x-sedge-fence": String(target.fence),
          "x-sedge-grant": String(target.grant)
        },
        body: exchange.body.length > 0 ? exchange.body : null,
        bodyTimeout: target.idleMs
      },
      new RelayHandler(exchange, measures, end)
    )
  }

  /** Resumes a broken stream after the last complete event. Calls `end` once. */
  resume(
    exchange: Exchange,
    target: Pick<RelayTarget, "address" | "attempt" | "idleMs">,
    measures: RelayMeasures,
    end: RelayEnd
  ): void {
    this.freshAgent_.dispatch(
      {
        origin: `http://${target.address}`,
        path: `/v1/streams/${target.attempt}`,
        method: "GET",
        headers: {"last-event-id": exchange.lastEventId},
        headersTimeout: RESUME_HEADERS_TIMEOUT_MS,
        bodyTimeout: target.idleMs
      },
      new RelayHandler(exchange, measures, result => end(resultOfResume(result)), true)
    )
  }

  close(): void {
    void this.agent_.destroy()
    void this.freshAgent_.destroy()
  }
}

/** Maps the result of a resume, whose failure doesn't show whether the request ran. */
function resultOfResume(result: BackendResult): BackendResult {
  return NOT_RUN_RESULTS.has(result) ? "lost" : result
}
