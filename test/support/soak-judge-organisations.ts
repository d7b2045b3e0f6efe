/** What must hold of keys and limits in a round of the soak. */
import type {Judge, Run} from "../stand-ins/platform-judge.js"
import {KEY_MS} from "./platform-bed.js"
import {
  type SetLimit,
  type SoakOrganisations,
  USAGE_WINDOW_S
} from "./soak-organisations.js"
import type {SoakCall, SoakRecord} from "./soak-record.js"

/** A box may read its first configuration with keys so late, milliseconds; calls before need none. */
const OPENED_MS = 3_000

/** A lowered limit binds so long after it was acknowledged at the latest, whatever fails meanwhile, milliseconds. */
const LOWERED_MS = 12_000

const WINDOW_MS = USAGE_WINDOW_S * 1000

/** Returns what did not hold. */
export function judgeOrganisations(
  judge: Judge,
  record: SoakRecord,
  organisations: SoakOrganisations
): string[] {
  const openedAt = organisations.limits[0]?.at ?? 0
  const calls = record.calls.filter(({sentAt}) => sentAt > openedAt + OPENED_MS)
  return [
    ...calls.flatMap(call => judgeKey(judge, call, organisations)),
    ...judgeLimits(judge.runs, organisations.limits)
  ]
}

function judgeKey(
  judge: Judge,
  {outcome, key, sentAt}: SoakCall,
  organisations: SoakOrganisations
): string[] {
  const {id, status} = outcome
  const runs = judge.runsOf(id)
  const owner = organisations.ownerOf(key)
  if (status === 401 && organisations.isSteady(key)) return [`${id}: 401 for a held key`]
  if (runs.length === 0) return []
  if (owner === undefined) return [`${id} ran with ${key ?? "no key"}`]
  const other = runs.find(({tenant}) => tenant !== owner)
  if (other) return [`${id} of ${owner} ran for ${other.tenant ?? "nobody"}`]
  const takenAt = organisations.takenAt(key)
  if (takenAt === undefined || sentAt <= takenAt + KEY_MS) return []
  return [
    `${id} ran, sent ${Math.round(sentAt - takenAt)} ms after its key was taken away`
  ]
}

function judgeLimits(runs: readonly Run[], limits: readonly SetLimit[]): string[] {
  const names = [...new Set(limits.map(({organisation}) => organisation))]
  return names.flatMap(name => {
    const own = runs.filter(({tenant}) => tenant === name)
    const set = limits.filter(({organisation}) => organisation === name)
    const sorted = own.sort((a, b) => a.reached - b.reached)
    let first = 0
    let sum = 0
    for (const run of sorted) {
      sum += run.tokens ?? 0
      while ((sorted[first]?.reached ?? Infinity) <= run.reached - WINDOW_MS) {
        sum -= sorted[first++]?.tokens ?? 0
      }
      const limit = limitAt(set, run.reached)
      if (sum > limit) {
        const at = new Date(performance.timeOrigin + run.reached).toISOString()
        return [`${name} used ${sum} of ${limit} in ${WINDOW_MS} ms, at ${at}`]
      }
    }
    return []
  })
}

/** The highest limit that may have been in force in the window that ends then. */
function limitAt(set: readonly SetLimit[], at: number): number {
  const from = at - WINDOW_MS - LOWERED_MS
  const before = set.filter(each => each.at <= from).at(-1)
  const since = set.filter(each => each.at > from && each.at <= at)
  return Math.max(...[before, ...since].map(each => each?.tokens ?? 0))
}
