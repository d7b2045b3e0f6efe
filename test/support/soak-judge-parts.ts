/**
 * Judges a soak round for requests with a shared part that crashes engines, and for the
 * sound requests beside them, by the rules of `judge-crashing-parts.ts`.
 */
import type {Judge} from "../stand-ins/platform-judge.js"
import {
  type CrashingPartsOptions,
  judgeCrashingParts,
  listSoundShares,
  type PromptCall
} from "./judge-crashing-parts.js"
import {isConnected} from "./soak-judge-incidents.js"
import type {SoakRecord} from "./soak-record.js"

/** Time for which a fault of servers, of links to them or of orders hinders requests. */
const SERVER_FAULT_MS = 3_000

/**
 * Faults that strike boxes or the store alone: of these only boxes out of touch are
 * excused, and times at which the store is not healthy.
 */
const BOX_FAULTS: ReadonlySet<string> = new Set([
  "kill",
  "kill-leader",
  "term",
  "pause",
  "pause-leader",
  "hup",
  "store-down",
  "store-silent",
  "store-slow",
  "store-loses",
  "store-deaf",
  "store-forgets",
  "cut-from-store",
  "config",
  "suspend",
  "suspend-leader",
  "part-crashes",
  "kill-leader-after-part-crashes"
])

/** Returns the violations found in a round. */
export function judgeParts(judge: Judge, record: SoakRecord): string[] {
  const calls = listCalls(record)
  return judgeCrashingParts(judge, [...calls.keys()], optionsOf(record, calls))
}

/** Describes how many engines crashed under parts, and which requests were compared. */
export function describeParts(judge: Judge, record: SoakRecord): string {
  const calls = listCalls(record)
  const shares = listSoundShares(judge, [...calls.keys()], optionsOf(record, calls))
  const listed = shares.map(
    ({part, route, before, after}) =>
      `, ${route} beside ${part}: ${countBegun(after)} of ${after.length}, ` +
      `before ${countBegun(before)} of ${before.length}`
  )
  return `crashes under parts ${judge.parts.crashes.length}${listed.join("")}`
}

/** Returns the calls with shared parts, and the boxes that received them. */
function listCalls(record: SoakRecord): ReadonlyMap<PromptCall, string> {
  const calls = new Map<PromptCall, string>()
  for (const {kind, parts, box, sentAt, outcome} of record.calls) {
    if (!parts) continue
    const hasBegun = outcome.status === 200
    calls.set({id: outcome.id, route: `/${kind}/x`, parts, sentAt, hasBegun}, box)
  }
  for (const {path, parts, box, sentAt, outcome} of record.crashing) {
    if (!parts) continue
    const hasBegun = outcome.status === 200
    calls.set({id: outcome.id, route: path, parts, sentAt, hasBegun}, box)
  }
  return calls
}

function optionsOf(
  record: SoakRecord,
  calls: ReadonlyMap<PromptCall, string>
): CrashingPartsOptions {
  const boxes = new Map([...calls].map(([{id}, box]) => [id, box]))
  const isHindered = (at: number): boolean =>
    record.faults.some(
      fault =>
        !BOX_FAULTS.has(fault.name) && fault.at > at - SERVER_FAULT_MS && fault.at <= at
    )
  return {
    counts: ({id, at}) => isConnected(record, boxes.get(id), at),
    countsCall: call =>
      isConnected(record, calls.get(call), call.sentAt) && !isHindered(call.sentAt),
    isCalm: at => !isAnyStruck(record, at)
  }
}

/** Whether any box was out of touch, so that the others took its work over. */
function isAnyStruck({exemptions}: SoakRecord, at: number): boolean {
  return exemptions.some(
    exemption => exemption.at <= at && at - exemption.at < SERVER_FAULT_MS
  )
}

function countBegun(calls: readonly PromptCall[]): number {
  return calls.filter(({hasBegun}) => hasBegun).length
}
