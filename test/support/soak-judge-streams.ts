/**
 * Judges streams over all tries of their callers: what looks complete is, no event is
 * missing or comes twice, workers wrote every event, and no stream joins events from
 * workers of two software versions (ORDER). Streams that callers take up while two
 * workers of their version serve go on often enough (LOST).
 */
import {type Run, type Judge} from "../stand-ins/platform-judge.js"
import {signedEvent} from "../stand-ins/platform-worker.js"
import {isStruck} from "./soak-judge-cuts.js"
import type {SoakRecord, SoakStream} from "./soak-record.js"
import {eventNumber, type StreamTry} from "./stream-caller.js"

/** Streams of two software versions that a round may have. */
const MAX_MIXED = 2

/** Take-ups are judged from this number on. */
const MIN_TAKE_UPS = 12

/** Take-ups go on at least this often, as a share of how often new streams begin. */
const MIN_SHARE = 1 / 2

/** Workers of its version that must serve during a take-up that is judged. */
const MIN_SERVING = 2

/** A box is in touch after this time without a fault (`contactMs`). */
const CONTACT_MS = 3_000

/** How often tries brought what they asked for. */
interface TryCount {
  readonly served: number
  readonly all: number
  /** How the other tries ended, each way with its number. */
  readonly others: string
}

/** Returns the violations found in a round. */
export function judgeStreams(judge: Judge, record: SoakRecord): string[] {
  const mixed = listMixed(judge, record)
  const broken = record.streams.flatMap(stream => judgeStream(judge, stream))
  const isMixedTooOften = mixed.length > MAX_MIXED
  return [
    ...broken,
    ...(isMixedTooOften
      ? [`${mixed.length} streams of two software versions: ${mixed.join("; ")}`]
      : []),
    ...judgeTakeUps(judge, record)
  ]
}

/** Describes how the streams of a round went. */
export function describeStreams(judge: Judge, record: SoakRecord): string {
  const {streams} = record
  const count = (matches: (stream: SoakStream) => boolean): number =>
    streams.filter(matches).length
  const brokenOff = new Set(judge.breakOffs.map(({id}) => id))
  const takeUps = countTakeUps(judge, record)
  const begins = countBegins(record)
  return (
    `streams ${streams.length}: whole ${count(isWholeStream)}, ` +
    `broken off at a server ${count(({tries}) => tries.some(({id}) => brokenOff.has(id)))}, ` +
    `continued by a box ${count(({tries}) => tries.some(each => isContinued(judge, each)))}, ` +
    `taken up by a caller ${count(({tries}) => tries.some(isTakeUp))}, ` +
    `refused ${count(({tries}) => isRefused(tries.at(-1)))}, ` +
    `given up by a caller ${count(({tries}) => tries.at(-1)?.gaveUp === true)}, ` +
    `without an answer ${count(({tries}) => isUnanswered(tries.at(-1)))}, ` +
    `reached a caller cut ${count(({tries}) => tries.some(isCut))}, ` +
    `of two versions ${listMixed(judge, record).length}, ` +
    `take-ups that went on ${takeUps.served} of ${takeUps.all}${takeUps.others}, ` +
    `new streams that began ${begins.served} of ${begins.all}${begins.others}`
  )
}

/** Whether the caller has the whole stream, in an answer that looks complete. */
export function isWholeStream({tries, length}: SoakStream): boolean {
  const last = tries.at(-1)
  if (last === undefined || !looksComplete(last)) return false
  return lastNumber(tries) === length.events
}

function judgeStream(judge: Judge, {tries, length}: SoakStream): string[] {
  let last = 0
  const violations: string[] = []
  for (const each of tries) {
    const addViolation = (text: string): void => {
      violations.push(`${each.id} (stream at ${each.box}, ${each.status}): ${text}`)
    }
    for (const event of each.events) {
      const number = eventNumber(event)
      if (number !== last + 1) {
        addViolation(`event ${number} follows event ${last}`)
        break
      }
      last = number
      if (!findWriter(judge, each, event)) {
        addViolation(`no worker wrote ${JSON.stringify(event)}`)
      }
    }
    if (!looksComplete(each)) continue
    const rest = each.rest === "" ? "" : ` and part of an event`
    if (last !== length.events || rest !== "") {
      addViolation(`it looks complete with event ${last} of ${length.events}${rest}`)
    }
  }
  return violations
}

/**
 * Returns the run that wrote an event of an answer. Undefined if there is none.
 */
function findWriter(judge: Judge, {id}: StreamTry, event: string): Run | undefined {
  const number = eventNumber(event)
  return judge
    .runsOf(id)
    .find(run => Number(run.from) < number && signedEvent(number, run) === event)
}

/** Returns a description of each stream with events of two software versions. */
function listMixed(judge: Judge, {streams}: SoakRecord): string[] {
  return streams.flatMap(({tries}) => {
    const parts = tries.flatMap(each => listParts(judge, each))
    const versions = new Set(parts.map(({software}) => software))
    if (versions.size < 2) return []
    return [
      parts.map(({id, worker, software}) => `${id} ${worker} ${software}`).join(", ")
    ]
  })
}

/** Returns the runs that wrote the events of an answer, in the order of the events. */
function listParts(judge: Judge, each: StreamTry): Run[] {
  const writers = each.events.flatMap(event => findWriter(judge, each, event) ?? [])
  return [...new Set(writers)]
}

function judgeTakeUps(judge: Judge, record: SoakRecord): string[] {
  const takeUps = countTakeUps(judge, record)
  const begins = countBegins(record)
  if (takeUps.all < MIN_TAKE_UPS) return []
  const shareOfNew = begins.served / Math.max(1, begins.all)
  if (takeUps.served / takeUps.all >= MIN_SHARE * shareOfNew) return []
  return [
    `${takeUps.served} of ${takeUps.all} streams that callers took up went on${takeUps.others}, ` +
      `${begins.served} of ${begins.all} new ones began${begins.others}`
  ]
}

/** Counts the judged take-ups: at boxes in touch, while workers of the version served. */
function countTakeUps(judge: Judge, record: SoakRecord): TryCount {
  const judged = record.streams.flatMap(({tries, serving}) =>
    tries.filter((each, i) => {
      if (!isTakeUp(each) || !isInTouch(record, each)) return false
      const [begun] = tries.slice(0, i).flatMap(earlier => listParts(judge, earlier))
      const counts = serving.filter(({id}) => id === each.id)
      return counts.every(
        ({engines}) => (engines.get(begun?.software ?? "") ?? 0) >= MIN_SERVING
      )
    })
  )
  return countServed(judged)
}

function countBegins(record: SoakRecord): TryCount {
  const first = record.streams.flatMap(({tries}) => tries.slice(0, 1))
  return countServed(first.filter(each => isInTouch(record, each)))
}

function countServed(tries: readonly StreamTry[]): TryCount {
  const others = tries.filter(
    each => each.status !== 200 || (each.events.length === 0 && !looksComplete(each))
  )
  const ways = new Map<string, number>()
  for (const {status, gaveUp} of others) {
    const way = gaveUp ? `given up ${status}` : `${status}`
    ways.set(way, (ways.get(way) ?? 0) + 1)
  }
  const text = [...ways].map(([way, count]) => `${way}: ${count}`).join(", ")
  return {
    served: tries.length - others.length,
    all: tries.length,
    others: text === "" ? "" : ` (${text})`
  }
}

/** Whether no fault of the box or the store is near the try. */
function isInTouch(record: SoakRecord, {box, sentAt, endedAt}: StreamTry): boolean {
  const isStoreStable =
    record.storeFaults.longestHealthyMs(sentAt - CONTACT_MS, endedAt) >=
    endedAt - sentAt + CONTACT_MS
  const isCutOff = record.cuts.some(
    cut => cut.boxes.includes(box) && cut.from < endedAt && cut.to > sentAt - CONTACT_MS
  )
  return isStoreStable && !isCutOff && !isStruck(record, {box, sentAt})
}

function looksComplete({status, broken}: StreamTry): boolean {
  return status === 200 && !broken
}

function isCut({status, broken, gaveUp}: StreamTry): boolean {
  return status === 200 && broken && !gaveUp
}

function isTakeUp({from}: StreamTry): boolean {
  return from !== undefined
}

/** Whether there was no answer, or none but a failure. */
function isUnanswered(last: StreamTry | undefined): boolean {
  return last?.gaveUp !== true && last?.status !== 200 && !isRefused(last)
}

function isRefused(last: StreamTry | undefined): boolean {
  return last?.status === 503 || last?.status === 429
}

/** Whether a box sent a request again after its answer had begun. */
function isContinued(judge: Judge, {id, from}: StreamTry): boolean {
  return judge.runsOf(id).some(run => Number(run.from) > (from ?? 0))
}

function lastNumber(tries: readonly StreamTry[]): number {
  const last = tries.flatMap(({events}) => events).at(-1)
  return last === undefined ? 0 : eventNumber(last)
}
