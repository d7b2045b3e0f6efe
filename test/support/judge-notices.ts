/** What backend servers said of themselves in their answers, and what their boxes sent them all the same. */
import type {Arrived, Judge} from "../stand-ins/platform-judge.js"

/** From an answer that says that its server leaves, milliseconds. */
const DRAIN_MS = 2_000

/** From an answer that asks for rest until it counts, milliseconds, and how many requests may come in it. */
const REST_FROM_MS = 500
const MOST_IN_REST = 2

/** Of findings that are alike, those that are told. */
const MOST_LINES = 3

/** A call of a caller: which box took it and when. */
export interface NoticedCall {
  readonly box: string
  readonly sentAt: number
}

/** A time in which a box was restarted, stood still or was cut off: nothing from before it counts. */
export interface Excuse {
  readonly box: string
  readonly at: number
}

export interface NoticeRecord {
  /** By the name of their requests. */
  readonly calls: ReadonlyMap<string, NoticedCall>
  readonly excuses: readonly Excuse[]
  /** Lives of workers that began: what an earlier one said does not bind. */
  readonly reborn: readonly {readonly worker: string; readonly at: number}[]
}

/** Returns what did not hold. */
export function judgeNotices(judge: Judge, record: NoticeRecord): string[] {
  return [...judgeLeaves(judge, record), ...judgeRests(judge, record)]
}

function judgeLeaves(judge: Judge, record: NoticeRecord): string[] {
  const found = judge.leaves.flatMap(({id, worker, at}) => {
    const box = record.calls.get(id)?.box
    if (box === undefined) return []
    const late = arrivalsFrom(judge, record, box, worker).find(arrived => {
      const sentAt = record.calls.get(arrived.id)?.sentAt ?? -Infinity
      return sentAt > at + DRAIN_MS && !isExcused(record, box, worker, at, arrived.at)
    })
    if (!late) return []
    const afterMs = Math.round(late.at - at)
    return [
      `${late.id} reached ${worker} from ${box} ${afterMs} ms after it said so: it leaves`
    ]
  })
  return found.slice(0, MOST_LINES)
}

function judgeRests(judge: Judge, record: NoticeRecord): string[] {
  const found = judge.rests.flatMap(({id, worker, at, seconds}) => {
    const box = record.calls.get(id)?.box
    if (box === undefined) return []
    const end = at + 1_000 * seconds
    const inRest = arrivalsFrom(judge, record, box, worker).filter(
      arrived => arrived.at > at + REST_FROM_MS && arrived.at < end
    )
    const last = inRest.at(-1)
    if (!last || inRest.length <= MOST_IN_REST) return []
    if (isExcused(record, box, worker, at, last.at)) return []
    return [`${worker} asked ${box} for ${seconds} s of rest and got ${inRest.length}`]
  })
  return found.slice(0, MOST_LINES)
}

function arrivalsFrom(
  {arrived}: Judge,
  {calls}: NoticeRecord,
  box: string,
  worker: string
): Arrived[] {
  return arrived.filter(
    request => request.worker === worker && calls.get(request.id)?.box === box
  )
}

function isExcused(
  {excuses, reborn}: NoticeRecord,
  box: string,
  worker: string,
  from: number,
  to: number
): boolean {
  const between = (at: number): boolean => at >= from - REST_FROM_MS && at <= to
  return (
    excuses.some(each => each.box === box && between(each.at)) ||
    reborn.some(each => each.worker === worker && between(each.at))
  )
}
