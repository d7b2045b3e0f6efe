/** Finds the route and the service of a request, and the holder of its key. */
import type {FleetConfig, FleetService, Route} from "../types/fleet.js"
import type {RoutedOrganisation, UsageLimit} from "../types/organisations.js"
import {equalHash} from "../utils/hash.js"
import {type RankOf, createRankOf} from "./request-ranks.js"

/** A key digest with the organisation that holds the key. */
export interface KeyHolder {
  readonly digest: string
  readonly organisation: RoutedOrganisation
}

/** Look-up tables for the routes, services and keys of one configuration. */
export interface RouteTable {
  readonly config: FleetConfig
  /** Routes of each host, longest path prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>
  readonly services: ReadonlyMap<string, FleetService>
  /** Key holders, by the first `DIGEST_PREFIX_LENGTH` characters of the digest. */
  readonly holders: ReadonlyMap<string, readonly KeyHolder[]>
  /** Usage limits by organisation, for those that have one. */
  readonly usageLimits: ReadonlyMap<string, UsageLimit>
  readonly rankOf: RankOf
}

export function buildRouteTable(config: FleetConfig): RouteTable {
  const byHost = new Map<string, Route[]>()
  for (const route of config.routes) {
    const routes = byHost.get(route.host)
    if (routes) routes.push(route)
    else byHost.set(route.host, [route])
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }
  const services = new Map(config.services.map(service => [service.name, service]))
  const holders = indexKeys(config)
  const usageLimits = indexLimits(config)
  const rankOf = createRankOf(config)
  return {config, byHost, services, holders, usageLimits, rankOf}
}

function indexLimits({organisations}: FleetConfig): Map<string, UsageLimit> {
  return new Map(
    organisations.flatMap(({name, limit}) => (limit ? [[name, limit] as const] : []))
  )
}

/** Characters of a digest that select the candidates for the constant-time comparison. */
const DIGEST_PREFIX_LENGTH = 8

/**
 * Returns the organisation that holds the key of this digest, compared in constant time.
 */
export function findHolder(
  {holders}: RouteTable,
  digest: string
): RoutedOrganisation | undefined {
  const candidates = holders.get(digest.slice(0, DIGEST_PREFIX_LENGTH)) ?? []
  return candidates.find(each => equalHash(each.digest, digest))?.organisation
}

function indexKeys({organisations}: FleetConfig): Map<string, KeyHolder[]> {
  const holders = new Map<string, KeyHolder[]>()
  for (const organisation of organisations) {
    for (const digest of organisation.keys) {
      const digestPrefix = digest.slice(0, DIGEST_PREFIX_LENGTH)
      const sameBucket = holders.get(digestPrefix) ?? []
      holders.set(digestPrefix, [...sameBucket, {digest, organisation}])
    }
  }
  return holders
}

/** Returns the route with the longest path prefix that matches; the query is ignored. */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string
): Route | undefined {
  const query = path.indexOf("?")
  const pathWithoutQuery = query < 0 ? path : path.slice(0, query)
  return table.byHost
    .get(stripPort(host))
    ?.find(route => pathWithoutQuery.startsWith(route.pathPrefix))
}

/** Chooses a service of the route by weight; `draw` is a random number in [0, 1). */
export function drawService(route: Route, draw: number): string | undefined {
  let total = 0
  for (const {weight} of route.services) total += weight
  let remaining = draw * total
  for (const {service, weight} of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service
}

/** Whether requests of the route may run more than once. */
export function isRetryableRoute(route: Route): boolean {
  return route.kind === "safe" || (route.kind === "streaming" && route.resumable)
}

function stripPort(host: string): string {
  const colon = host.indexOf(":")
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}
