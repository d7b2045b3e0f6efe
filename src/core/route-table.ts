/** Which route a request takes, and which service of the route. */
import type {FleetConfig, FleetService, Route} from "../types/fleet.js"
import type {RoutedOrganisation, UsageLimit} from "../types/organisations.js"
import {equalHash} from "../utils/hash.js"
import {type RankOf, rankRequests} from "./request-ranks.js"

/** A key with who holds it. */
export interface KeyHolder {
  readonly digest: string
  readonly organisation: RoutedOrganisation
}

/** The routes and services of one configuration, prepared for look-ups. */
export interface RouteTable {
  readonly config: FleetConfig
  /** Routes of a host, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>
  readonly services: ReadonlyMap<string, FleetService>
  /** Who holds which keys, by the beginnings of their digests. */
  readonly holders: ReadonlyMap<string, readonly KeyHolder[]>
  /** Limits of organisations that have one, by their names. */
  readonly limited: ReadonlyMap<string, UsageLimit>
  readonly rankOf: RankOf
}

/** Prepares a configuration. */
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
  const limited = indexLimits(config)
  const rankOf = rankRequests(config)
  return {config, byHost, services, holders, limited, rankOf}
}

function indexLimits({organisations}: FleetConfig): Map<string, UsageLimit> {
  return new Map(
    organisations.flatMap(({name, limit}) => (limit ? [[name, limit] as const] : []))
  )
}

/** Of a digest, what finds those to compare it with. */
const KEY_BEGINNING = 8

/** The organisation that holds the key of this digest, compared in constant time. */
export function findHolder(
  {holders}: RouteTable,
  digest: string
): RoutedOrganisation | undefined {
  const alike = holders.get(digest.slice(0, KEY_BEGINNING)) ?? []
  return alike.find(each => equalHash(each.digest, digest))?.organisation
}

function indexKeys({organisations}: FleetConfig): Map<string, KeyHolder[]> {
  const holders = new Map<string, KeyHolder[]>()
  for (const organisation of organisations) {
    for (const digest of organisation.keys) {
      const beginning = digest.slice(0, KEY_BEGINNING)
      const alike = holders.get(beginning) ?? []
      holders.set(beginning, [...alike, {digest, organisation}])
    }
  }
  return holders
}

/** The route with the longest prefix that begins the path; the query does not count. */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string
): Route | undefined {
  const query = path.indexOf("?")
  const bare = query < 0 ? path : path.slice(0, query)
  return table.byHost
    .get(bareHost(host))
    ?.find(route => bare.startsWith(route.pathPrefix))
}

/** A service of the route by weight; `draw` is in [0, 1). */
export function drawService(route: Route, draw: number): string | undefined {
  let total = 0
  for (const {weight} of route.services) total += weight
  let left = draw * total
  for (const {service, weight} of route.services) {
    left -= weight
    if (left < 0) return service
  }
  return route.services.at(-1)?.service
}

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "safe" || (route.kind === "streaming" && route.resumable)
}

function bareHost(host: string): string {
  const colon = host.indexOf(":")
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}
