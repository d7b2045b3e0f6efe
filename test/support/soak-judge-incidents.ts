/** What must hold of requests that crash servers, and of what servers say of themselves, in a round of the soak. */
import type {Judge} from "../stand-ins/platform-judge.js"
import {judgeCrashes} from "./judge-crashes.js"
import {judgeNotices, type NoticedCall} from "./judge-notices.js"
import {judgeRates} from "./judge-rates.js"
import type {CrashingCall, SoakRecord} from "./soak-record.js"

/** A box is in touch once nothing has struck it or the store for so long, milliseconds. */
const CONTACT_MS = 3_000

/** Faults in which answers of servers do not come through, or late: what they say is not known then. */
const LINK_FAULTS: ReadonlySet<string> = new Set([
  "silence-worker",
  "reset-workers",
  "silent-worker-links",
  "silent-links"
])

/** Answers may wait in a link for so long, milliseconds. */
const LINK_FAULT_MS = 2_500

/** Returns what did not hold. */
export function judgeIncidents(judge: Judge, record: SoakRecord): string[] {
  const calls = new Map<string, NoticedCall>()
  for (const {box, sentAt, outcome} of [...record.calls, ...record.crashing]) {
    calls.set(outcome.id, {box, sentAt})
  }
  const isInTouch = (id: string, at: number): boolean => {
    const box = calls.get(id)?.box
    const struck = record.excuses.some(
      each => each.box === box && each.at <= at && at - each.at < CONTACT_MS
    )
    const wellSince = record.trouble.wellSince(at) ?? Infinity
    return !struck && at - wellSince >= CONTACT_MS
  }
  const excuses = [...record.excuses, ...linkExcuses(record)]
  return [
    ...judgeCrashes(judge, ({id, at}) => isInTouch(id, at)),
    ...judgeNotices(judge, {calls, exemptions: excuses, restarts: judge.reborn}),
    ...judgeRates(judge, {calls, exemptions: record.excuses, restarts: judge.reborn}),
    ...record.crashing.flatMap(call => judgeCrashing(judge, call))
  ]
}

function linkExcuses(record: SoakRecord): {box: string; at: number}[] {
  const boxes = new Set(record.calls.map(({box}) => box))
  return record.faults
    .filter(({name}) => LINK_FAULTS.has(name))
    .flatMap(({at}) =>
      [...boxes].flatMap(box => [
        {box, at},
        {box, at: at + LINK_FAULT_MS}
      ])
    )
}

function judgeCrashing(judge: Judge, {path, outcome}: CrashingCall): string[] {
  const {id, status} = outcome
  const runs = judge.runsOf(id).length
  const found: string[] = []
  if (status === 503 && runs > 0)
    found.push(`${id} (${path}): refused as not run, and ran`)
  if (path !== "/stream/x" && runs > 1) found.push(`${id} (${path}): ran twice`)
  return found
}
