/**
 * Checks rounds with endless answers: calls that servers answer without end have an answer
 * by their deadline, and other callers of the box don't lose theirs. That these are served
 * is judged in `soak-judge-service.ts`, too.
 */
import {wasStruck} from "./soak-judge-service.js"
import type {EndlessCall, SoakRecord} from "./soak-record.js"

/** Time after its deadline by which a call has an answer at the latest (`CONFIG`). */
const LATE_MS = 500

/** Limit of reported findings, as they are alike. */
const MAX_FINDINGS = 3

/** Returns the violations found in a round. */
export function judgeEndless(record: SoakRecord): string[] {
  return [...judgeDeadlines(record), ...judgeOthers(record)]
}

/** Describes the endless calls, for the line of a round. */
export function describeEndless({endless}: SoakRecord): string {
  const counts = new Map<string, number>()
  for (const {outcome} of endless) {
    const name = outcome.status === 0 ? (outcome.error ?? "0") : String(outcome.status)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  const worstMs = Math.max(0, ...endless.map(call => call.answeredAt - call.sentAt))
  const ends = [...counts].map(([name, count]) => `${name}:${count}`).join(",")
  return `endless ${ends} up to ${Math.round(worstMs)} ms`
}

function judgeDeadlines(record: SoakRecord): string[] {
  const late = record.endless.filter(
    call =>
      call.overAt !== undefined &&
      call.answeredAt > call.overAt + LATE_MS &&
      !wasStruck(record, call.box, call.sentAt, call.answeredAt)
  )
  return late.slice(0, MAX_FINDINGS).map(({outcome, path, kind, box, ...call}) => {
    const ms = Math.round(call.answeredAt - call.sentAt)
    return `${outcome.id} (${path}, endless ${kind}) got ${outcome.error ?? outcome.status} from ${box} after ${ms} ms, as ${late.length} such calls did, too late`
  })
}

function judgeOthers(record: SoakRecord): string[] {
  const lost = record.calls.filter(({box, outcome, sentAt, answeredAt = sentAt}) => {
    if (outcome.status !== 0 || outcome.error === "ECONNREFUSED") return false
    const isBeside = record.endless.some(call => isOpen(call, box, sentAt, answeredAt))
    return isBeside && !wasStruck(record, box, sentAt, answeredAt)
  })
  return lost
    .slice(0, MAX_FINDINGS)
    .map(
      ({outcome, kind, box}) =>
        `${outcome.id} (${kind}) got no answer from ${box} (${outcome.error}) beside endless answers, as ${lost.length} such calls`
    )
}

/** Whether an endless call at this box was open within a time. */
function isOpen(call: EndlessCall, box: string, from: number, to: number): boolean {
  return call.box === box && call.sentAt < to && call.answeredAt > from
}
