/**
 * Checks that boxes obey the notices (leaving, back-off) in the responses of backend
 * servers.
 */
import type {ArrivedRequest, Judge} from "../stand-ins/platform-judge.js"

/** Time after a notice of leaving within which requests may still be sent. */
const DRAIN_MS = 2_000

/** Time after a back-off request until it is binding. */
const BACKOFF_BINDING_MS = 500
/** Largest number of requests that may arrive during a back-off. */
const MAX_DURING_BACKOFF = 2

/** Largest number of findings of one kind that are reported. */
const MAX_FINDINGS = 3

/** A call with the box that received it and the time it was sent. */
export interface NoticedCall {
  readonly box: string
  readonly sentAt: number
}

/**
 * Time at which a box was restarted, suspended or cut off. The box does not have to obey
 * notices from before.
 */
export interface Exemption {
  readonly box: string
  readonly at: number
}

export interface NoticeRecord {
  /** By request id. */
  readonly calls: ReadonlyMap<string, NoticedCall>
  readonly exemptions: readonly Exemption[]
  /** Starts of worker incarnations. Notices of earlier incarnations are not binding. */
  readonly restarts: readonly {readonly worker: string; readonly at: number}[]
}

/** Returns a line for each notice that was not obeyed. */
export function judgeNotices(judge: Judge, record: NoticeRecord): string[] {
  return [...findAfterLeave(judge, record), ...findDuringBackoff(judge, record)]
}

function findAfterLeave(judge: Judge, record: NoticeRecord): string[] {
  const found = judge.leavingNotices.flatMap(({id, worker, at}) => {
    const box = record.calls.get(id)?.box
    if (box === undefined) return []
    const lateArrival = arrivalsFrom(judge, record, box, worker).find(arrived => {
      const sentAt = record.calls.get(arrived.id)?.sentAt ?? -Infinity
      return sentAt > at + DRAIN_MS && !isExcused(record, box, worker, at, arrived.at)
    })
    if (!lateArrival) return []
    const afterMs = Math.round(lateArrival.at - at)
    return [
      `${lateArrival.id} reached ${worker} from ${box} ${afterMs} ms after it said so: it leaves`
    ]
  })
  return found.slice(0, MAX_FINDINGS)
}

function findDuringBackoff(judge: Judge, record: NoticeRecord): string[] {
  const found = judge.backOffs.flatMap(({id, worker, at, seconds}) => {
    const box = record.calls.get(id)?.box
    if (box === undefined) return []
    const end = at + 1_000 * seconds
    const duringBackoff = arrivalsFrom(judge, record, box, worker).filter(
      arrived => arrived.at > at + BACKOFF_BINDING_MS && arrived.at < end
    )
    const last = duringBackoff.at(-1)
    if (!last || duringBackoff.length <= MAX_DURING_BACKOFF) return []
    if (isExcused(record, box, worker, at, last.at)) return []
    return [
      `${worker} asked ${box} for ${seconds} s of rest and got ${duringBackoff.length}`
    ]
  })
  return found.slice(0, MAX_FINDINGS)
}

function arrivalsFrom(
  {arrivedRequests: arrived}: Judge,
  {calls}: NoticeRecord,
  box: string,
  worker: string
): ArrivedRequest[] {
  return arrived.filter(
    request => request.worker === worker && calls.get(request.id)?.box === box
  )
}

function isExcused(
  {exemptions: excuses, restarts: reborn}: NoticeRecord,
  box: string,
  worker: string,
  from: number,
  to: number
): boolean {
  const between = (at: number): boolean => at >= from - BACKOFF_BINDING_MS && at <= to
  return (
    excuses.some(excuse => excuse.box === box && between(excuse.at)) ||
    reborn.some(start => start.worker === worker && between(start.at))
  )
}
