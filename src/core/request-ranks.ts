/** The rank of a request at engines: its organisation's before its route's. */
import type {FleetConfig} from "../types/fleet.js"

/** Engines know ranks from 0, the most urgent, to this. */
export const LOWEST_RANK = 9

/** The rank of a request of an organisation, or of none, on a route of this rank. */
export type RankOf = (organisation: number | undefined, route: number) => number

/**
 * Ranks the pairs of both that a configuration has. Without organisations the route's rank stands as it
 * is. An organisation that tells no rank, and a request of none, come last.
 */
export function rankRequests({organisations, routes}: FleetConfig): RankOf {
  if (organisations.length === 0) return (_, route) => route
  const ofRoutes = sortRanks(routes.map(({priority}) => priority))
  const ofOrganisations = sortRanks(
    organisations.map(({priority}) => priority ?? Infinity)
  )
  const count = ofOrganisations.length * ofRoutes.length
  return (organisation, route) => {
    const above = placeOf(ofOrganisations, organisation ?? Infinity)
    const place = above * ofRoutes.length + placeOf(ofRoutes, route)
    return count <= LOWEST_RANK + 1
      ? place
      : Math.floor((place * (LOWEST_RANK + 1)) / count)
  }
}

function sortRanks(ranks: readonly number[]): number[] {
  return [...new Set(ranks)].sort((a, b) => a - b)
}

function placeOf(sorted: readonly number[], rank: number): number {
  const place = sorted.findIndex(each => each >= rank)
  return place < 0 ? sorted.length - 1 : place
}
