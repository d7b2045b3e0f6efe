/**
 * How long ago a leader granted the last allowances, as leases of the key-value service
 * prove it. Nothing else tells the time for which no box was there.
 *
 * A leader keeps marks: keys under leases of several lengths, which it renews at short
 * intervals. It grants only while each mark was renewed less than `MAX_RENEWAL_AGE_MS` ago,
 * counted from the sending of an answered renewal.
 *
 * Proof: let a mark with a lease of T be absent in an answer that arrives at x. Its last
 * renewal arrived T before x at the latest, and was sent before that. Any grant came less
 * than `MAX_RENEWAL_AGE_MS` after it was sent. So nothing was granted within
 * T - `MAX_RENEWAL_AGE_MS` before x.
 */
import {
  ALLOWANCE_LIFETIME_MS,
  usageLifetimeMs,
  type UsageOptions
} from "./usage-limits.js"

export const RENEW_INTERVAL_MS = 700
export const MAX_RENEWAL_AGE_MS = 1_500

export interface UsageMark {
  readonly name: string
  readonly ttlMs: number
}

/**
 * What each mark proves, by its name, as a share of the time for which grants can count. A
 * name keeps its share: another one would prove something else to a box of another version.
 */
const PROVEN_SHARES: Readonly<Record<string, number>> = {
  "4": 0.1,
  "5": 0.2,
  "6": 0.3,
  "0": 0.4,
  "1": 0.6,
  "2": 0.8,
  "3": 1
}

/** The marks of leaders that do not name theirs: they keep no others. */
export const UNNAMED_MARKS: readonly string[] = ["0", "1", "2", "3"]

/** Returns the marks of a leader, the shortest first. */
export function listMarks(options: UsageOptions): UsageMark[] {
  const countsMs = ALLOWANCE_LIFETIME_MS + usageLifetimeMs(options)
  return Object.entries(PROVEN_SHARES)
    .map(([name, share]) => ({
      name,
      ttlMs: Math.ceil(share * countsMs) + MAX_RENEWAL_AGE_MS
    }))
    .sort((a, b) => a.ttlMs - b.ttlMs)
}

/** Returns for how long nothing was granted, if these marks are present. */
export function provenIdleMs(
  marks: readonly UsageMark[],
  present: ReadonlySet<string>
): number {
  const absent = marks.filter(({name}) => !present.has(name))
  return absent.reduce((most, {ttlMs}) => Math.max(most, ttlMs - MAX_RENEWAL_AGE_MS), 0)
}
