/** Consequences of failed attempts for backend servers and their slots. */
import {adapterKey} from "../types/fleet.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"

/** How an attempt ended without a complete answer. */
export type AttemptFailure =
  | "not-sent"
  /** The box that was to send it did not. */
  | "not-carried"
  /** The same, as that box knows that the request crashes servers. */
  | "quarantined"
  /** The backend server reported that it did not run it. */
  | "refused"
  /** As above, because it does not hold the weights or is not the expected server. */
  | "misplaced"
  /** The connection broke or the answer was invalid. */
  | "broken"
  /** The same between the server and the box that sent the request for this one. */
  | "broken-beyond"
  /**
   * The conditions of the send no longer hold and the engine did nothing wrong: for
   * example its version was replaced or the snapshot is stale. The connection was closed
   * before the request began, or nothing was sent.
   */
  | "overtaken"

/** How long other servers are preferred to a backend server that failed. */
export const SUSPECT_MS = 2_500

/** First pause before a server that refused a request is tried for it again. */
export const REFUSED_PAUSE_MS = 60

/** Whether the backend server reported that it did not run the request. */
export function isRefusal(failure: AttemptFailure): failure is "misplaced" | "refused" {
  return failure === "misplaced" || failure === "refused"
}

/**
 * Handles an engine's refusal of an adapter that it should hold. Returns whether the
 * weights are only late; another engine would have to load them from the start.
 */
export function handleSlotRefusal(
  box: BoxServing,
  request: BoxRequest,
  {backend}: Attempt,
  failure: "misplaced" | "refused",
  now: number
): boolean {
  const {weights} = request.arrival
  if (weights?.adapter === undefined) return false
  const adapter = adapterKey(weights.model, weights.adapter)
  const slots = box.engines.get(backend)?.slots
  const slot = slots?.get(adapter)
  if (!slots || !slot) return false
  // Recently ordered weights may still be loading. A shed request (`refused`) says
  // nothing about weights.
  const isLate = slot.fresh
  if (isLate) slots.set(adapter, {...slot, readyAt: now + REFUSED_PAUSE_MS})
  else if (failure === "misplaced") slots.delete(adapter)
  else return false
  box.effects.push({type: "missing", engine: backend, adapter, late: isLate})
  return isLate
}

/** Marks the backend server as suspect, so that others are preferred for a while. */
export function markSuspect(box: BoxServing, backend: string, now: number): void {
  if ((box.suspectUntil.get(backend) ?? 0) <= now)
    logEvent(box, "backend-suspect", {backend})
  box.suspectUntil.set(backend, now + SUSPECT_MS)
}
