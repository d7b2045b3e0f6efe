/**
 * Checks how often requests with a shared part that crashes backend servers still reach
 * one, and how often sound requests beside them begin.
 */
import type {PartCrash, PromptArrival} from "../stand-ins/crashing-parts.js"
import type {Judge} from "../stand-ins/platform-judge.js"

/** Crashes after which a part must be known, by all boxes `PROPAGATION_MS` later. */
const CRASHES = 5
const PROPAGATION_MS = 3_000

/** Largest number of requests with the part that reach servers from then on. */
const MAX_AFTER = 3

/** Sound requests begin again this long after the fifth crash, or the last if fewer. */
const RECOVERY_MS = 2 * PROPAGATION_MS

/** Least share of the sound requests that begin, compared with those before. */
const LEAST_SHARE = 1 / 2

/** Least number of sound requests before and after for a comparison. */
const LEAST_CALLS = 20

/** The first attempt of a request with shared parts in its prompt. */
export interface PromptCall {
  readonly id: string
  readonly route: string
  /** Parts of its prompt but the last. */
  readonly parts: readonly string[]
  readonly sentAt: number
  /** Whether its answer began at this attempt. */
  readonly hasBegun: boolean
}

export interface CrashingPartsOptions {
  /** Whether an arrival counts, which it does not if its box was disconnected. */
  readonly counts?: (arrival: PromptArrival) => boolean
  /** Whether a sound request counts, which it does not if its box was disconnected. */
  readonly countsCall?: (call: PromptCall) => boolean
  /** Whether no other fault was near a time. */
  readonly isCalm?: (at: number) => boolean
}

/** Times that a part is judged by. */
interface PartTimes {
  readonly part: string
  readonly first: number
  /** The fifth crash, or the last if there are fewer. */
  readonly known: number
  /** Whether servers crashed often enough for a bound of the arrivals. */
  readonly isBounded: boolean
  /** When it was repaired. Infinity if it was not. */
  readonly repaired: number
  readonly crashes: number
}

/** Sound requests of a route with the same first part, before and after the crashes. */
export interface SoundShare {
  readonly part: string
  readonly route: string
  readonly firstPart: string
  readonly before: readonly PromptCall[]
  readonly after: readonly PromptCall[]
}

/** Returns a line for each part whose requests broke a rule. */
export function judgeCrashingParts(
  judge: Judge,
  calls: readonly PromptCall[],
  options: CrashingPartsOptions = {}
): string[] {
  return [
    ...listParts(judge).flatMap(times => judgeArrivals(judge, times, options)),
    ...listSoundShares(judge, calls, options).flatMap(judgeShare)
  ]
}

/** Returns the sound requests of each part that have a comparison. */
export function listSoundShares(
  judge: Judge,
  calls: readonly PromptCall[],
  options: CrashingPartsOptions = {}
): SoundShare[] {
  return listParts(judge)
    .flatMap(times => compareRoutes(judge, times, calls, options))
    .filter(
      ({before, after}) => before.length >= LEAST_CALLS && after.length >= LEAST_CALLS
    )
}

function listParts({parts}: Judge): PartTimes[] {
  const names = new Set(parts.crashes.map(({part}) => part))
  return [...names].map(part => {
    const crashes = parts.crashes.filter(crash => crash.part === part)
    const known = crashes[CRASHES - 1] ?? (crashes.at(-1) as PartCrash)
    return {
      part,
      first: (crashes[0] as PartCrash).at,
      known: known.at,
      isBounded: crashes.length >= CRASHES,
      repaired: parts.repairs.get(part) ?? Infinity,
      crashes: crashes.length
    }
  })
}

function judgeArrivals(
  {parts}: Judge,
  {part, known, isBounded, repaired, crashes}: PartTimes,
  {counts = () => true}: CrashingPartsOptions
): string[] {
  if (!isBounded) return []
  const after = parts.arrivals.filter(
    arrival =>
      arrival.parts.includes(part) &&
      arrival.at > known + PROPAGATION_MS &&
      arrival.at < repaired &&
      counts(arrival)
  )
  if (after.length <= MAX_AFTER) return []
  const lateMs = Math.round((after[MAX_AFTER]?.at ?? known) - known)
  return [
    `requests with part ${part} reached servers ${after.length} times after ${CRASHES} had crashed ` +
      `under it, ${crashes} in all; the fourth time ${lateMs} ms after`
  ]
}

function compareRoutes(
  judge: Judge,
  {part, first, known, repaired}: PartTimes,
  calls: readonly PromptCall[],
  {isCalm = () => true, countsCall = () => true}: CrashingPartsOptions
): SoundShare[] {
  const guilty = new Set(listParts(judge).map(times => times.part))
  const under = calls.filter(({parts, sentAt}) => {
    return parts.includes(part) && sentAt < repaired
  })
  const firstCrash = Math.min(...judge.parts.crashes.map(({at}) => at), first)
  const sound = calls.filter(({parts}) => !parts.some(name => guilty.has(name)))
  const groups = new Map(
    under.map(({route, parts: [firstPart = ""]}) => [
      `${route} ${firstPart}`,
      {route, firstPart}
    ])
  )
  return [...groups.values()].map(({route, firstPart}) => {
    const lastAt = Math.max(
      ...under.filter(call => call.route === route).map(({sentAt}) => sentAt)
    )
    const beside = sound.filter(
      call => call.route === route && call.parts[0] === firstPart && countsCall(call)
    )
    return {
      part,
      route,
      firstPart,
      before: beside.filter(({sentAt}) => sentAt < firstCrash && isCalm(sentAt)),
      after: beside.filter(({sentAt}) => sentAt > known + RECOVERY_MS && sentAt <= lastAt)
    }
  })
}

function judgeShare({part, route, firstPart, before, after}: SoundShare): string[] {
  const shareBefore = shareOf(before)
  const shareAfter = shareOf(after)
  if (shareAfter >= shareBefore * LEAST_SHARE) return []
  return [
    `sound requests of ${route} with the first part ${firstPart}, which those with part ${part} share, ` +
      `began at the first attempt ${countBegun(after)} of ${after.length} times, ` +
      `before the crashes ${countBegun(before)} of ${before.length}`
  ]
}

function shareOf(calls: readonly PromptCall[]): number {
  return countBegun(calls) / calls.length
}

function countBegun(calls: readonly PromptCall[]): number {
  return calls.filter(({hasBegun}) => hasBegun).length
}
