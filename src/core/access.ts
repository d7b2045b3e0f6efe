/**
 * Whether a caller's key lets its request through, and for which organisation. A key that was taken away
 * must not be used later than a fixed time after that was acknowledged, also by a box that is cut off: so
 * keys count only while the reading that the configuration rests on is young enough to have shown it.
 */
import type {Route} from "../types/fleet.js"
import type {RoutedOrganisation} from "../types/organisations.js"
import {configAgeMs, isConfigCurrent} from "./box-news.js"
import type {BoxServing} from "./box-state.js"
import {findHolder} from "./route-table.js"

/** Off the time in which a key that was taken away may still be used: clock rates, and a turn of the loop. */
const KEY_MARGIN_MS = 500

/** Why a request is not let through. */
export type AccessRefusal =
  /** It has no key, or one that no organisation holds. */
  | "unknown-key"
  /** No organisation is known to hold its key, but that may have changed. */
  | "unknown-key-yet"
  /** The box has not heard for too long which keys were taken away. */
  | "keys-too-old"

export type Access =
  | {readonly granted: true; readonly organisation?: RoutedOrganisation}
  | {readonly granted: false; readonly reason: AccessRefusal}

const OPEN: Access = {granted: true}

/** Looks a request's key up; `key`: its digest, or undefined where it has none. */
export function checkAccess(
  box: BoxServing,
  route: Route,
  key: string | undefined,
  now: number
): Access {
  const {table} = box
  if (!table || table.config.organisations.length === 0) return OPEN
  const organisation = key === undefined ? undefined : findHolder(table, key)
  if (route.anonymous && !organisation) return OPEN
  if (organisation) {
    if (mayTrustKeys(box, now)) return {granted: true, organisation}
    return {granted: false, reason: "keys-too-old"}
  }
  const reason = isConfigCurrent(box, now) ? "unknown-key" : "unknown-key-yet"
  return {granted: false, reason}
}

/** Whether the key that let a request through still does: it may have waited since. */
export function isStillHeld(
  {table}: BoxServing,
  key: string | undefined,
  organisation: string | undefined
): boolean {
  if (organisation === undefined || key === undefined || !table) return true
  return findHolder(table, key)?.name === organisation
}

/** Whether a key that was taken away in time would be known to be. */
function mayTrustKeys(box: BoxServing, now: number): boolean {
  const {takenAwayMs} = box.options
  if (takenAwayMs === undefined) return true
  return configAgeMs(box, now) <= takenAwayMs - KEY_MARGIN_MS
}
