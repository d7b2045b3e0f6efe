/**
 * Checks availability in rounds with organisations: a plain call is served if its key is
 * held for long enough and was never revoked, its organisation is well below its limit, and no fault
 * explains a refusal at its box.
 */
import {mustBeServed} from "./soak-judge-service.js"
import {FIRST_CONFIGURATION_MS} from "./soak-judge-organisations.js"
import {
  CALL_TOKENS,
  type SoakOrganisations,
  USAGE_WINDOW_S
} from "./soak-organisations.js"
import type {SoakCall, SoakRecord} from "./soak-record.js"

/**
 * After a restore from an older backup, a key that boxes last read before it may have been
 * revoked. Operators repeat their writes within this time (`UNCERTAIN_ABSENCE_MS`).
 */
const KEYS_UNCERTAIN_MS = 10_000

/**
 * Time until usage allowances are granted again after a leader was lost, and after the
 * usage that its successor must assume has left the window (`docs/design/organisations.md`).
 */
const LEADER_RECOVERY_MS = 6_000
const USAGE_UNKNOWN_MS = 13_000

/** Boxes read the store at least once in a healthy span of this length. */
const READ_SPAN_MS = 1_500

/** Age from which on boxes accept no key without a newer read. */
const KEY_AGE_MS = 4_500

/** Part of a limit below which its organisation must not be refused. */
const LIMIT_SHARE = 0.5

/** Limit of reported findings, as they are alike. */
const MAX_FINDINGS = 3

/** Returns the violations found in a round. */
export function judgeKeyedService(
  record: SoakRecord,
  organisations: SoakOrganisations
): string[] {
  return listGuaranteedCalls(record, organisations)
    .filter(({outcome}) => outcome.status !== 200)
    .slice(0, MAX_FINDINGS)
    .map(
      ({outcome, box, key, sentAt}) =>
        `${outcome.id} (safe, ${outcome.error ?? outcome.status}) of ${organisations.ownerOf(key)} was not served by ${box} ` +
        `at ${new Date(performance.timeOrigin + sentAt).toISOString()}, though its key is held; faults before: ` +
        record.faultsBetween(sentAt - KEYS_UNCERTAIN_MS, sentAt)
    )
}

/** Returns the calls that must have been served. */
export function listGuaranteedCalls(
  record: SoakRecord,
  organisations: SoakOrganisations
): SoakCall[] {
  const calls = [...record.calls].sort((a, b) => a.sentAt - b.sentAt)
  return calls.filter(
    call =>
      mustBeServed(record, call) &&
      organisations.wasHeldFor(call.key, FIRST_CONFIGURATION_MS, call.sentAt) &&
      areKeysKnown(record, call) &&
      hasAllowances(record, call) &&
      isBelowLimit(calls, call, organisations)
  )
}

function areKeysKnown(
  {restores, storeFaults}: SoakRecord,
  {sentAt, answeredAt = sentAt}: SoakCall
): boolean {
  if (restores.some(at => at > sentAt - KEYS_UNCERTAIN_MS && at < answeredAt))
    return false
  return storeFaults.longestHealthyMs(sentAt - KEY_AGE_MS, sentAt) > READ_SPAN_MS
}

/** Whether no change of leader can have left the boxes without allowances. */
function hasAllowances(
  {exemptions, restores, storeFaults}: SoakRecord,
  {sentAt, answeredAt = sentAt}: SoakCall
): boolean {
  const isRecent = (at: number, ms: number): boolean =>
    at > sentAt - ms && at < answeredAt
  if (exemptions.some(({at, mayLead}) => mayLead && isRecent(at, LEADER_RECOVERY_MS)))
    return false
  if (restores.some(at => isRecent(at, USAGE_UNKNOWN_MS + LEADER_RECOVERY_MS)))
    return false
  return storeFaults.longestHealthyMs(sentAt - LEADER_RECOVERY_MS, sentAt) > KEY_AGE_MS
}

/**
 * Whether all calls of the organisation in a window together, served or not, are below
 * the lowest limit that may be in force.
 */
function isBelowLimit(
  calls: readonly SoakCall[],
  {key, sentAt}: SoakCall,
  organisations: SoakOrganisations
): boolean {
  const owner = organisations.ownerOf(key)
  const from = sentAt - 2 * USAGE_WINDOW_S * 1_000
  const recent = calls.filter(
    call =>
      call.sentAt > from &&
      call.sentAt <= sentAt &&
      organisations.ownerOf(call.key) === owner
  )
  const own = organisations.limits.filter(({organisation}) => organisation === owner)
  const before = own.filter(({at}) => at <= from).slice(-1)
  const since = own.filter(({at}) => at > from && at <= sentAt)
  const lowest = Math.min(...[...before, ...since].map(({tokens}) => tokens))
  return (recent.length * CALL_TOKENS) / 2 < LIMIT_SHARE * lowest
}
