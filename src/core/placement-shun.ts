/**
 * Backend servers that several boxes found silent. One box meets a dead server only with its own
 * few requests, each of which waits until it is given up; told by the leader, all boxes leave the
 * server alone after the first of them. Two boxes must say so, since one may have lost its own way
 * to the server, and never are more than a part of a service left alone, since all of its servers
 * may merely be slow.
 */
import type {Fleet} from "./placement-state.js"

/** Boxes that must have found a server silent. */
const MIN_BOXES = 2

/** Their words count together within this time, milliseconds. */
const TOGETHER_MS = 2_000

/** How long a server is left alone: about what a restart takes, milliseconds. */
export const SHUN_MS = 2_500

/** Of the servers of a service, the part that may be left alone at once. */
const MAX_SHARE = 1 / 3

/** A box found a backend server silent; `peers`: ids of the servers of its service. */
export function takeSilence(
  fleet: Fleet,
  box: string,
  backend: string,
  peers: readonly string[],
  now: number
): void {
  const said = fleet.silences.get(backend) ?? new Map<string, number>()
  fleet.silences.set(backend, said)
  said.set(box, now)
  for (const [other, at] of said) if (now - at > TOGETHER_MS) said.delete(other)
  if (said.size < MIN_BOXES || isShunned(fleet, backend, now)) return
  const shunned = peers.filter(id => isShunned(fleet, id, now)).length
  if (shunned + 1 > peers.length * MAX_SHARE) return
  fleet.shunned.set(backend, now + SHUN_MS)
  fleet.silences.delete(backend)
  fleet.effects.push({type: "shun", backend})
  const fields = {backend, boxes: said.size}
  fleet.effects.push({type: "note", event: "backend-shunned", fields})
}

/** Whether boxes leave a server alone now. */
export function isShunned({shunned}: Fleet, backend: string, now: number): boolean {
  return (shunned.get(backend) ?? 0) > now
}

/** Forgets what is over. */
export function expireShunned({shunned, silences}: Fleet, now: number): void {
  for (const [id, until] of shunned) if (until <= now) shunned.delete(id)
  for (const [id, said] of silences) {
    const latest = Math.max(0, ...said.values())
    if (now - latest > TOGETHER_MS) silences.delete(id)
  }
}
