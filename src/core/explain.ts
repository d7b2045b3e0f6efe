/**
 * Explains one request from the log lines of all boxes: the decisions, their inputs, and
 * what the answer guarantees to the caller. Lines keep the order in which their box wrote
 * them, because the clocks of boxes may differ.
 */

/** A line of the log of a box. */
export interface LogLine {
  readonly box: string
  /** Number in the catalogue of log events (src/events.ts). */
  readonly event: number
  /** Time of day by the clock of the box (ms). */
  readonly time: number
  readonly [field: string]: unknown
}

/** A log line with its description. */
export interface ExplainedStep {
  readonly box: string
  /** Time since the first of these lines of the same box, by its clock. */
  readonly afterMs: number
  readonly event: number
  readonly text: string
}

export interface Explanation {
  readonly request: string
  readonly steps: readonly ExplainedStep[]
  /** Load and unload orders for the adapters of the request. */
  readonly placement: readonly ExplainedStep[]
  /** Changes in the boxes' view of the system while they served the request. */
  readonly beliefs: readonly ExplainedStep[]
  readonly verdict: string
}

const EVENT = {
  answeredByBox: 197,
  sent: 190,
  retry: 191,
  hedged: 271,
  hedgeEnded: 272,
  refused: 192,
  cut: 193,
  ended: 194,
  broken: 223,
  resumed: 243,
  streamRefused: 244,
  suspect: 195,
  callerDisconnected: 196,
  oldVersionStarted: 212,
  rateAdvertised: 234,
  rateEnded: 235,
  paced: 236,
  load: 200,
  unload: 201,
  orderFailed: 202,
  unreached: 239,
  reached: 240,
  carried: 241,
  notCarried: 242,
  overloaded: 247,
  short: 248,
  relieved: 249
} as const

const PLACEMENT_EVENTS: ReadonlySet<number> = new Set([
  EVENT.load,
  EVENT.unload,
  EVENT.orderFailed
])

/**
 * Events that change a box's view of the system: key-value service, configuration, store
 * snapshots, links, leadership, suspects and rate limits.
 */
const STATE_EVENTS: ReadonlySet<number> = new Set([
  104,
  110,
  111,
  160,
  180,
  181,
  182,
  183,
  184,
  185,
  215,
  216,
  219,
  220,
  EVENT.rateAdvertised,
  EVENT.rateEnded,
  EVENT.suspect,
  EVENT.unreached,
  EVENT.reached,
  EVENT.short,
  EVENT.relieved
])

/** How far before the first line of a request other lines are considered. */
const LOOKBACK_MS = 10_000

const DESCRIPTIONS: ReadonlyMap<number, (line: LogLine) => string> = new Map([
  [
    EVENT.answeredByBox,
    line =>
      `answered by the box itself: ${line["reason"]}, configuration ${line["config"]}`
  ],
  [
    EVENT.sent,
    line =>
      `attempt ${line["attempt"]} sent to ${line["backend"]}${describePath(line)} after ${line["waitedMs"]} ms` +
      ` (adapter ${line["adapter"] || "none"}, version ${line["version"]}${describeReplacement(line)}${describeStream(line)}, slots last updated ${line["newsMs"]} ms before${describeAccess(line)})`
  ],
  [
    EVENT.paced,
    line =>
      `no allowance for ${line["backend"]}, which takes ${line["perSecond"]} requests a second ` +
      `from all boxes together${describeWait(line)}`
  ],
  [
    EVENT.rateAdvertised,
    line => `${line["backend"]} advertises ${line["perSecond"]} requests a second`
  ],
  [EVENT.rateEnded, line => `${line["backend"]} no longer advertises a rate limit`],
  [EVENT.retry, line => `to be retried, since the attempt was ${line["after"]}`],
  [
    EVENT.hedged,
    line =>
      `another server is tried, as ${line["backend"]} has been silent for ${line["silentMs"]} ms (${line["after"]})`
  ],
  [EVENT.hedgeEnded, describeHedgeEnd],
  [
    EVENT.refused,
    line =>
      `ended as ${line["reason"]} after ${line["heldMs"]} ms and ${line["attempts"]} attempts`
  ],
  [EVENT.overloaded, describeOverload],
  [
    EVENT.short,
    line =>
      `no free place at the engines of ${line["service"]}: boxes refuse ` +
      `${line["fraction"]} of rank ${line["rank"]} and all of higher ones`
  ],
  [EVENT.relieved, line => `${line["service"]} has free places again`],
  [EVENT.cut, line => `the partly sent answer was cut: ${line["reason"]}`],
  [
    EVENT.ended,
    line =>
      `answered completely by ${line["backend"]}: sent after ${line["sentMs"]} ms, first byte after ` +
      `${line["firstMs"]} ms, end after ${line["totalMs"]} ms${describeFraming(line)}`
  ],
  [
    EVENT.resumed,
    line =>
      `resumes the stream that ${line["begunBy"] || "an unnamed request"} began, after event ` +
      `${line["lastEventId"]}: bound to software ${line["software"]} of ${line["service"]} (${line["source"]})`
  ],
  [
    EVENT.streamRefused,
    line =>
      line["reason"] === "version-gone"
        ? `the stream can't go on: no server of ${line["service"]} runs software ${line["software"]} (there are ${line["versions"]})`
        : `the stream can't go on: no box knows its software version, and ${line["service"]} has had ${line["versions"]}`
  ],
  [
    EVENT.broken,
    line =>
      `the answer of ${line["backend"]} broke off after ${line["afterMs"]} ms` +
      `${describeFraming(line)}${line["cause"] ? ` (${line["cause"]})` : ""}`
  ],
  [
    EVENT.oldVersionStarted,
    line =>
      `the answer starts with version ${line["version"]}${describeReplacement(line)}, ` +
      `${line["queuedMs"]} ms after it was sent`
  ],
  [
    EVENT.callerDisconnected,
    line => `the caller disconnected after ${line["heldMs"]} ms`
  ],
  [
    EVENT.load,
    line =>
      `load ordered at ${line["engine"]} from ${line["near"] ? "cached weights" : "the weight store"}`
  ],
  [
    EVENT.unload,
    line => `unload ordered at ${line["engine"]}, popularity ${line["heat"]}`
  ],
  [
    EVENT.orderFailed,
    line => `${line["operation"]} at ${line["engine"]}: ${line["result"]}`
  ],
  [EVENT.suspect, line => `${line["backend"]} failed or stopped responding`],
  [
    EVENT.unreached,
    line =>
      `does not reach ${line["backend"]} (${line["evidence"]}): ${line["reached"]} of ` +
      `${line["of"]} servers of ${line["service"]} are reached`
  ],
  [EVENT.reached, line => `reaches ${line["backend"]} again after ${line["downMs"]} ms`],
  [EVENT.carried, line => `sent to ${line["backend"]} on behalf of ${line["asker"]}`],
  [EVENT.notCarried, line => `not sent on behalf of ${line["asker"]}: ${line["reason"]}`]
])

const OVERLOAD_CAUSES: Readonly<Record<string, string>> = {
  pressure: "the service has no free place for its rank",
  share: "its organisation is beyond its share of the places",
  "too-late": "no engine can start it before its caller leaves",
  "box-full": "too many requests wait in the box"
}

function describeHedgeEnd(line: LogLine): string {
  const {because, backend, other, forMs} = line
  if (because === "heard") return `${backend} goes on after ${forMs} ms`
  if (because === "answered") return `${other} answers in place of ${backend}`
  return `back to ${backend}, as no other server can take it (${because})`
}

/** The load decision of a refused request. */
function describeOverload(line: LogLine): string {
  const cause = OVERLOAD_CAUSES[String(line["cause"])] ?? String(line["cause"])
  const level =
    line["level"] === ""
      ? ""
      : `; ${line["fraction"]} of rank ${line["level"]} and all of higher ones are refused`
  return (
    `refused for lack of capacity: ${cause} (rank ${line["rank"]}, ` +
    `${line["organisation"] || "no organisation"}${level}), to return in ${line["retryAfterMs"]} ms`
  )
}

/** The server's software, and after which event of which request a stream goes on. */
function describeStream({software, lastEventId, begunBy}: LogLine): string {
  const server = software ? `, software ${software}` : ""
  if (!lastEventId) return server
  const begun = begunBy ? ` of the stream that ${begunBy} began` : ""
  return `${server}, continues after event ${lastEventId}${begun}`
}

/** What marks the end of an answer, and what came after the last event of a stream. */
function describeFraming({framing, partialBytes}: LogLine): string {
  if (!framing) return ""
  const partial =
    typeof partialBytes === "number" && partialBytes > 0
      ? `, ${partialBytes} bytes into an event`
      : ""
  return `; framed by ${framing}${partial}`
}

/** The box that an attempt was sent through, if it was. */
function describePath({via}: LogLine): string {
  return via ? ` through the box at ${via}` : ""
}

/** Describes when the next request can be sent, if not at once. */
function describeWait({fullForMs}: LogLine): string {
  return typeof fullForMs === "number" && fullForMs > 0
    ? `: the next can be sent in ${fullForMs} ms`
    : ""
}

/** The organisation and the configuration by which a request was sent. */
function describeAccess(line: LogLine): string {
  if (line["config"] === undefined) return ""
  const organisation = line["organisation"] || "no organisation"
  return `; for ${organisation} by configuration ${line["config"]}, read ${line["configMs"]} ms before`
}

/** Describes how long before this line the version was replaced, if it was. */
function describeReplacement({oldForMs}: LogLine): string {
  if (typeof oldForMs !== "number" || oldForMs === 0) return ""
  const age = oldForMs < 0 ? "at an unknown time" : `at most ${oldForMs} ms before`
  return `, replaced ${age}`
}

/** What each reason for a refusal guarantees to the caller. */
const VERDICTS: Readonly<Record<string, string>> = {
  "not-run": "refused: it did not run and never will; the caller was told when to retry",
  unknown: "failed: it may have run, and the caller was told so",
  timeout: "failed: its deadline passed; it may have run"
}

/** Explains a request. Undefined if no line has its id. */
export function explainRequest(
  lines: readonly LogLine[],
  request: string
): Explanation | undefined {
  const ownLines = lines.filter(line => line["request"] === request)
  if (ownLines.length === 0) return undefined
  const adapters = new Set(ownLines.map(line => line["adapter"]).filter(name => name))
  const boxes = new Set(ownLines.map(({box}) => box))
  const from = Math.min(...ownLines.map(({time}) => time)) - LOOKBACK_MS
  const to = Math.max(...ownLines.map(({time}) => time))
  const nearby = lines.filter(({time}) => time >= from && time <= to)
  const placement = nearby.filter(
    ({event, adapter}) =>
      PLACEMENT_EVENTS.has(event) && adapters.has(String(adapter).split("/").pop())
  )
  const beliefs = nearby.filter(
    ({box, event}) => STATE_EVENTS.has(event) && boxes.has(box)
  )
  return {
    request,
    steps: toSteps(ownLines),
    placement: toSteps(placement),
    beliefs: toSteps(beliefs),
    verdict: findVerdict(ownLines)
  }
}

function toSteps(lines: readonly LogLine[]): ExplainedStep[] {
  const firstTimes = new Map<string, number>()
  return lines.map(line => {
    const {box, event, time} = line
    const first = firstTimes.get(box) ?? time
    firstTimes.set(box, first)
    const text = DESCRIPTIONS.get(event)?.(line) ?? String(line["msg"] ?? "")
    return {box, event, afterMs: time - first, text}
  })
}

function findVerdict(ownLines: readonly LogLine[]): string {
  const last = ownLines.filter(({event}) => END_EVENTS.has(event)).at(-1)
  if (!last)
    return "no end is logged: it is in progress, its box crashed, or lines are missing"
  switch (last.event) {
    case EVENT.ended:
      return "answered completely"
    case EVENT.cut:
      return "cut: the caller received a truncated answer"
    case EVENT.callerDisconnected:
      return "the caller disconnected before the answer was complete"
    case EVENT.answeredByBox:
      return "answered by the box itself; no backend server was asked"
    default:
      return VERDICTS[String(last["reason"])] ?? String(last["reason"])
  }
}

const END_EVENTS: ReadonlySet<number> = new Set([
  EVENT.answeredByBox,
  EVENT.refused,
  EVENT.cut,
  EVENT.ended,
  EVENT.callerDisconnected
])
