/**
 * Checks that service comes back on few processors: of the calls that are sent more than
 * `RECOVERY_MS` after all boxes were killed, a quarter is served, with the boxes' processors
 * back or not.
 */
import type {ProcessorShortage, SoakCall, SoakRecord} from "./soak-record.js"

/** `recoveryS` of the deployments with keys (`RECOVER`). */
export const RECOVERY_MS = 15_000

/** Share of the calls that are served after this time (`RECOVER`). */
const SERVED_SHARE = 1 / 4

/** Fewer calls say nothing. */
const MIN_CALLS = 20

/** Returns the violations found in a round. */
export function judgeShortages(record: SoakRecord): string[] {
  return record.shortages.flatMap(shortage => {
    const calls = listLateCalls(record, shortage)
    const served = countServed(calls)
    if (calls.length < MIN_CALLS || served >= calls.length * SERVED_SHARE) return []
    return [
      `${served} of ${calls.length} calls were served that were sent more than ` +
        `${RECOVERY_MS} ms after all boxes had been killed that then had few processors; faults since: ` +
        record.faultsBetween(shortage.from, Infinity)
    ]
  })
}

/** Describes how the calls of each shortage were served, for the line of a round. */
export function describeShortages(record: SoakRecord): string {
  const {calls} = record
  const parts = record.shortages.map(shortage => {
    const {from, killedAt, to} = shortage
    const during = calls.filter(({sentAt}) => sentAt >= killedAt && sentAt < to)
    const late = listLateCalls(record, shortage)
    const ms = [killedAt, to].map(at => Math.round(at - from)).join("-")
    return `${ms}ms:${countServed(during)}/${during.length},late:${countServed(late)}/${late.length}`
  })
  return `few processors ${parts.join(" ")}`
}

/** Returns the calls of boxes and a store that nothing else has struck for as long. */
function listLateCalls(
  {calls, boxEnds, shortages, storeFaults}: SoakRecord,
  {killedAt}: ProcessorShortage
): SoakCall[] {
  const next = Math.min(
    ...shortages.map(({from}) => from).filter(from => from > killedAt),
    Infinity
  )
  return calls.filter(({box, sentAt}) => {
    const from = sentAt - RECOVERY_MS
    if (from <= killedAt || sentAt >= next) return false
    if (boxEnds.some(end => end.box === box && end.at > from && end.at < sentAt))
      return false
    return (storeFaults.healthySince(sentAt) ?? Infinity) < from
  })
}

function countServed(calls: readonly SoakCall[]): number {
  return calls.filter(({outcome}) => outcome.status === 200).length
}
