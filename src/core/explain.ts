/**
 * Explains one request from the log lines of all boxes: what was decided, on which inputs, and what
 * the answer promised. Lines keep the order of their box; clocks of two boxes are not compared.
 */

/** One line of a log, as a box wrote it. */
export interface LogLine {
  readonly box: string
  /** Number in the catalogue. */
  readonly event: number
  /** The box's own time of day, milliseconds. */
  readonly time: number
  readonly [field: string]: unknown
}

/** One step of a request, in words. */
export interface ExplainedStep {
  readonly box: string
  /** After the first step of the box, milliseconds by its own clock. */
  readonly afterMs: number
  readonly event: number
  readonly text: string
}

export interface Explanation {
  readonly request: string
  readonly steps: readonly ExplainedStep[]
  /** What the leaders did with the weights that the request waited for. */
  readonly placement: readonly ExplainedStep[]
  /** What its boxes believed while they served it. */
  readonly beliefs: readonly ExplainedStep[]
  readonly verdict: string
}

/** Events by number; their texts and fields are in the catalogue. */
const EVENT = {
  none: 197,
  sent: 190,
  again: 191,
  refused: 192,
  cut: 193,
  ended: 194,
  suspect: 195,
  left: 196,
  oldBegun: 212,
  rateNamed: 234,
  rateEnded: 235,
  paced: 236,
  load: 200,
  unload: 201,
  trouble: 202
} as const

const PLACEMENT: ReadonlySet<number> = new Set([EVENT.load, EVENT.unload, EVENT.trouble])

/** Lines that tell of a changed belief: store, configuration, news, links, lead, suspects. */
const BELIEFS: ReadonlySet<number> = new Set([
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
  EVENT.rateNamed,
  EVENT.rateEnded,
  EVENT.suspect
])

/** Beliefs from so long before a request's first line are told, milliseconds. */
const BELIEF_SPAN_MS = 10_000

/** The words for a line of a request. */
const WORDS: ReadonlyMap<number, (line: LogLine) => string> = new Map([
  [
    EVENT.none,
    line =>
      `answered by the box itself: ${line["reason"]}, configuration ${line["config"]}`
  ],
  [
    EVENT.sent,
    line =>
      `attempt ${line["attempt"]} sent to ${line["backend"]} after ${line["waitedMs"]} ms` +
      ` (adapter ${line["adapter"] || "none"}, version ${line["version"]}${replaced(line)}, places told ${line["newsMs"]} ms before)`
  ],
  [
    EVENT.paced,
    line =>
      `no allowance for ${line["backend"]}, which takes ${line["perSecond"]} requests a second ` +
      `from all boxes together${waitsFor(line)}`
  ],
  [EVENT.rateNamed, line => `${line["backend"]} takes ${line["perSecond"]} a second`],
  [EVENT.rateEnded, line => `${line["backend"]} names no rate any more`],
  [EVENT.again, line => `to be sent once more, since the attempt was ${line["after"]}`],
  [
    EVENT.refused,
    line =>
      `ended as ${line["reason"]} after ${line["heldMs"]} ms and ${line["attempts"]} attempts`
  ],
  [EVENT.cut, line => `the answer that had begun was cut: ${line["reason"]}`],
  [
    EVENT.ended,
    line =>
      `answered whole by ${line["backend"]}: sent after ${line["sentMs"]} ms, first byte after ` +
      `${line["firstMs"]} ms, end after ${line["totalMs"]} ms`
  ],
  [
    EVENT.oldBegun,
    line =>
      `the answer begins on version ${line["version"]}${replaced(line)}, ` +
      `${line["queuedMs"]} ms after it was sent`
  ],
  [EVENT.left, line => `the caller left after ${line["heldMs"]} ms`],
  [
    EVENT.load,
    line =>
      `load ordered at ${line["engine"]} from ${line["near"] ? "a near copy" : "the weight store"}`
  ],
  [EVENT.unload, line => `unload ordered at ${line["engine"]}, heat ${line["heat"]}`],
  [EVENT.trouble, line => `${line["operation"]} at ${line["engine"]}: ${line["result"]}`],
  [EVENT.suspect, line => `${line["backend"]} failed or was silent`]
])

/** That there is no room at once. */
function waitsFor({fullForMs}: LogLine): string {
  return typeof fullForMs === "number" && fullForMs > 0
    ? `: the next may come in ${fullForMs} ms`
    : ""
}

/** That a version was replaced, and how long before at most. */
function replaced({oldForMs}: LogLine): string {
  if (typeof oldForMs !== "number" || oldForMs === 0) return ""
  const age = oldForMs < 0 ? "nobody knows when" : `at most ${oldForMs} ms before`
  return `, replaced ${age}`
}

/** What each end of a request promises its caller. */
const VERDICTS: Readonly<Record<string, string>> = {
  "not-run":
    "refused: it has not run and never will; the caller was told when to come back",
  unknown: "failed: it may have run, and the caller was told so",
  timeout: "failed: its time was over; it may have run"
}

/** Explains a request; undefined: no line names it. */
export function explainRequest(
  lines: readonly LogLine[],
  request: string
): Explanation | undefined {
  const own = lines.filter(line => line["request"] === request)
  if (own.length === 0) return undefined
  const adapters = new Set(own.map(line => line["adapter"]).filter(name => name))
  const boxes = new Set(own.map(({box}) => box))
  const from = Math.min(...own.map(({time}) => time)) - BELIEF_SPAN_MS
  const to = Math.max(...own.map(({time}) => time))
  const near = lines.filter(({time}) => time >= from && time <= to)
  const placement = near.filter(
    ({event, adapter}) =>
      PLACEMENT.has(event) && adapters.has(String(adapter).split("/").pop())
  )
  const beliefs = near.filter(({box, event}) => BELIEFS.has(event) && boxes.has(box))
  return {
    request,
    steps: toSteps(own),
    placement: toSteps(placement),
    beliefs: toSteps(beliefs),
    verdict: judge(own)
  }
}

function toSteps(lines: readonly LogLine[]): ExplainedStep[] {
  const begins = new Map<string, number>()
  return lines.map(line => {
    const {box, event, time} = line
    const begin = begins.get(box) ?? time
    begins.set(box, begin)
    const text = WORDS.get(event)?.(line) ?? String(line["msg"] ?? "")
    return {box, event, afterMs: time - begin, text}
  })
}

function judge(own: readonly LogLine[]): string {
  const last = own.filter(({event}) => ENDS.has(event)).at(-1)
  if (!last)
    return "no end is told: it is in progress, or its box died, or lines were left out"
  switch (last.event) {
    case EVENT.ended:
      return "answered whole"
    case EVENT.cut:
      return "cut: the caller saw a broken answer"
    case EVENT.left:
      return "the caller left before its answer was whole"
    case EVENT.none:
      return "answered by the box itself; no backend server was asked"
    default:
      return VERDICTS[String(last["reason"])] ?? String(last["reason"])
  }
}

const ENDS: ReadonlySet<number> = new Set([
  EVENT.none,
  EVENT.refused,
  EVENT.cut,
  EVENT.ended,
  EVENT.left
])
