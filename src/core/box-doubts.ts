/** What failed attempts tell of backend servers and of the places of their weights. */
import {adapterKey} from "../types/fleet.js"
import {type Attempt, type BoxRequest, type BoxServing, note} from "./box-state.js"

/** How an attempt ended without a whole answer. */
export type AttemptFailure =
  /** Nothing was sent. */
  | "not-sent"
  /** The backend server said that it did not run it. */
  | "refused"
  /** As above, since it does not hold the weights, or is another than expected. */
  | "misplaced"
  /** The connection broke or the answer was none. */
  | "broken"
  /**
   * What it was sent by holds no longer, and the engine did nothing wrong: its version was replaced, or the
   * news is too old. Its connection was closed before it began, or nothing was sent.
   */
  | "overtaken"

/** How long a backend server that failed is left alone where others can do, milliseconds. */
export const SUSPECT_MS = 2_500

/** Weights that are late are asked for again after this, milliseconds. */
export const REFUSED_PAUSE_MS = 60

/** The backend server said that it did not run it. */
export function isRefusal(failure: AttemptFailure): failure is "misplaced" | "refused" {
  return failure === "misplaced" || failure === "refused"
}

/**
 * An engine refused a request for an adapter that it was believed to hold; true: the weights are
 * only late, and another engine would have to begin from nothing.
 */
export function doubtPlace(
  box: BoxServing,
  request: BoxRequest,
  {backend}: Attempt,
  failure: "misplaced" | "refused",
  now: number
): boolean {
  const {weights} = request.arrival
  if (weights?.adapter === undefined) return false
  const adapter = adapterKey(weights.model, weights.adapter)
  const places = box.engines.get(backend)?.places
  const place = places?.get(adapter)
  if (!places || !place) return false
  // What has come lately may still be on its way; a shed request says nothing of weights.
  const late = place.fresh
  if (late) places.set(adapter, {...place, readyAt: now + REFUSED_PAUSE_MS})
  else if (failure === "misplaced") places.delete(adapter)
  else return false
  box.effects.push({type: "missing", engine: backend, adapter, late})
  return late
}

/** Other backend servers go first for a while. */
export function suspect(box: BoxServing, backend: string, now: number): void {
  if ((box.suspects.get(backend) ?? 0) <= now) note(box, "backend-suspect", {backend})
  box.suspects.set(backend, now + SUSPECT_MS)
}
