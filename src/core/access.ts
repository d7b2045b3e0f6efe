/**
 * Checks whether a caller's key grants access, and for which organisation.
 *
 * A revoked key must not be accepted later than a fixed time after the revocation was
 * acknowledged, not even by a box that is disconnected. Keys are therefore accepted only
 * while the store read behind the configuration is recent enough to contain the
 * revocation.
 */
import type {Route} from "../types/fleet.js"
import type {RoutedOrganisation} from "../types/organisations.js"
import {configAgeMs, isConfigCurrent} from "./box-snapshot-age.js"
import type {Arrival, BoxServing} from "./box-state.js"
import {findHolder, findRoute, type RouteTable} from "./route-table.js"

/**
 * Safety margin for clock drift and a turn of the event loop, subtracted from the time in
 * which a revoked key may still be accepted.
 */
const KEY_MARGIN_MS = 500

/** Why a request is denied. */
export type AccessRefusal =
  /** The request has no key, or one that belongs to no organisation. */
  | "unknown-key"
  /** The key belongs to no organisation, but the configuration may be out of date. */
  | "unknown-key-yet"
  /** The configuration is too old to rule out that the key was revoked. */
  | "keys-too-old"
  /** The configuration has no keys and is too old to rule out that there are some. */
  | "keys-not-read"

export type Access =
  | {readonly granted: true; readonly organisation?: RoutedOrganisation}
  | {readonly granted: false; readonly reason: AccessRefusal}

const GRANTED: Access = {granted: true}
const KEYS_NOT_READ: Access = {granted: false, reason: "keys-not-read"}
const NOT_HELD: Access = {granted: false, reason: "unknown-key"}

/** Checks a request's key. `key` is its digest, or undefined if the request has none. */
export function checkAccess(
  box: BoxServing,
  route: Route,
  key: string | undefined,
  now: number
): Access {
  const {table} = box
  if (!table) return GRANTED
  if (table.config.organisations.length === 0) {
    return route.anonymous || isKnownToNeedNoKeys(box, now) ? GRANTED : KEYS_NOT_READ
  }
  const organisation = key === undefined ? undefined : findHolder(table, key)
  if (route.anonymous && !organisation) return GRANTED
  if (organisation) {
    if (areKeysCurrent(box, now)) return {granted: true, organisation}
    return {granted: false, reason: "keys-too-old"}
  }
  const reason = isConfigCurrent(box, now) ? "unknown-key" : "unknown-key-yet"
  return {granted: false, reason}
}

/**
 * Checks a waiting request by the configuration in force, which may be a newer one than
 * at its arrival: its key may have been revoked, or its route may require a key since.
 */
export function recheckAccess(
  {table}: BoxServing,
  {route, key, organisation}: Arrival
): Access {
  if (!table || key === undefined) {
    return organisation !== undefined || isOpen(table, route) ? GRANTED : NOT_HELD
  }
  const holder = findHolder(table, key)
  if (organisation !== undefined && holder?.name !== organisation) return NOT_HELD
  if (holder) return {granted: true, organisation: holder}
  return isOpen(table, route) ? GRANTED : NOT_HELD
}

/** Whether the configuration in force serves a route without a key. */
function isOpen(table: RouteTable | undefined, route: Route): boolean {
  if (!table || table.config.organisations.length === 0) return true
  const inForce = findRoute(table, route.host, route.pathPrefix) ?? route
  return inForce.anonymous
}

/**
 * Whether the configuration, which has no organisations, proves that none were added
 * since. A deployment whose settings name no time for revocations never has any.
 */
function isKnownToNeedNoKeys(box: BoxServing, now: number): boolean {
  return box.options.takenAwayMs === undefined || isConfigCurrent(box, now)
}

/**
 * Whether the configuration is recent enough to contain all revocations that must be in
 * force.
 */
function areKeysCurrent(box: BoxServing, now: number): boolean {
  const {takenAwayMs} = box.options
  if (takenAwayMs === undefined) return true
  return configAgeMs(box, now) <= takenAwayMs - KEY_MARGIN_MS
}
