/**
 * Checks what callers are promised: a request that must not be repeated and that ended with
 * 408, 421, 429, 503 or a connection closed unread did not run and never will, and no try
 * runs twice.
 */
import type {Judge} from "../stand-ins/platform-judge.js"
import {isPromise, type PromiseCall} from "./promise-callers.js"

/** What was found, by the rule that it breaks. */
export interface PromiseFindings {
  /** Promises that a try did not run, and it did. */
  readonly refused: readonly string[]
  /** Tries that ran more than once. */
  readonly twice: readonly string[]
}

export function judgePromises(
  judge: Judge,
  calls: readonly PromiseCall[]
): PromiseFindings {
  const refused: string[] = []
  const twice: string[] = []
  for (const {path, tries} of calls) {
    for (const {id, box, end, sentAt, endedAt} of tries) {
      const runs = judge.runsOf(id)
      const when = runs
        .map(({worker, at}) => `${Math.round(at - sentAt)} ms at ${worker}`)
        .join(", ")
      const text = `${id} (${path}, ${box}, ${end} after ${Math.round(endedAt - sentAt)} ms)`
      if (isPromise(end) && runs.length > 0) {
        refused.push(`${text}: refused as not run, and ran after ${when}`)
      }
      if (runs.length > 1) twice.push(`${text}: ran twice, after ${when}`)
    }
  }
  return {refused, twice}
}

/** Counts the ends of all tries, for the line of a round. */
export function describePromises(calls: readonly PromiseCall[]): string {
  const counts = new Map<string, number>()
  for (const {end} of calls.flatMap(({tries}) => tries)) {
    const name = String(end)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  const sorted = [...counts].sort(([a], [b]) => (a < b ? -1 : 1))
  return `promises ${sorted.map(([name, count]) => `${name}:${count}`).join(",")}`
}
