/**
 * Checks a soak round for the handling of requests that crash servers, and of notices and
 * rate limits that servers send.
 */
import type {Judge} from "../stand-ins/platform-judge.js"
import {judgeCrashes} from "./judge-crashes.js"
import {judgeNotices, type NoticedCall} from "./judge-notices.js"
import {judgeRates} from "./judge-rates.js"
import type {CrashingCall, SoakRecord} from "./soak-record.js"

/** A box counts as connected after this time without a fault of the box or the store. */
const CONNECTED_MS = 3_000

/** Faults that lose or delay responses of servers, and so the notices in them. */
const LINK_FAULTS: ReadonlySet<string> = new Set([
  "silence-worker",
  "reset-workers",
  "silent-worker-links",
  "silent-links"
])

/** Longest time that a link fault delays a response. */
const LINK_FAULT_DELAY_MS = 2_500

/** Returns the violations found in a round. */
export function judgeIncidents(judge: Judge, record: SoakRecord): string[] {
  const calls = new Map<string, NoticedCall>()
  for (const {box, sentAt, outcome} of [...record.calls, ...record.crashing]) {
    calls.set(outcome.id, {box, sentAt})
  }
  for (const {id, box, sentAt} of record.streams.flatMap(({tries}) => tries)) {
    calls.set(id, {box, sentAt})
  }
  const exemptions = [...record.exemptions, ...linkFaultExemptions(record)]
  return [
    ...judgeCrashes(judge, ({id, at}) => isConnected(record, calls.get(id)?.box, at)),
    ...judgeNotices(judge, {calls, exemptions, restarts: judge.restarts}),
    ...judgeRates(judge, {
      calls,
      exemptions: record.exemptions,
      restarts: judge.restarts
    }),
    ...record.crashing.flatMap(call => judgeCrashingCall(judge, call))
  ]
}

/** Whether neither the box nor the store had a fault for some time. */
export function isConnected(
  record: SoakRecord,
  box: string | undefined,
  at: number
): boolean {
  const hadFault = record.exemptions.some(
    exemption =>
      exemption.box === box && exemption.at <= at && at - exemption.at < CONNECTED_MS
  )
  const healthySince = record.storeFaults.healthySince(at) ?? Infinity
  return !hadFault && at - healthySince >= CONNECTED_MS
}

function linkFaultExemptions(record: SoakRecord): {box: string; at: number}[] {
  const boxes = new Set(record.calls.map(({box}) => box))
  return record.faults
    .filter(({name}) => LINK_FAULTS.has(name))
    .flatMap(({at}) =>
      [...boxes].flatMap(box => [
        {box, at},
        {box, at: at + LINK_FAULT_DELAY_MS}
      ])
    )
}

function judgeCrashingCall(judge: Judge, {path, outcome}: CrashingCall): string[] {
  const {id, status} = outcome
  const runs = judge.runsOf(id).length
  const violations: string[] = []
  if (status === 503 && runs > 0)
    violations.push(`${id} (${path}): refused as not run, and ran`)
  if (path !== "/stream/x" && runs > 1) violations.push(`${id} (${path}): ran twice`)
  return violations
}
