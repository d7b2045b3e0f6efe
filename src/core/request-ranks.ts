/**
 * Ranks requests at engines, by the priority of the organisation first and of the route
 * second.
 */
import type {FleetConfig} from "../types/fleet.js"

/** Engines accept ranks from 0, the most urgent, to this. */
export const LOWEST_RANK = 9

/**
 * Returns a request's rank from the priorities of its organisation, if any, and its
 * route.
 */
export type RankOf = (organisation: number | undefined, route: number) => number

/**
 * Creates the rank function of a configuration. It orders the pairs of organisation and
 * route priorities and scales them to the ranks of engines. Without organisations the
 * rank is the route's priority. Organisations without a priority and requests without an
 * organisation come last.
 */
export function createRankOf({organisations, routes}: FleetConfig): RankOf {
  if (organisations.length === 0) return (_, route) => route
  const ofRoutes = sortRanks(routes.map(({priority}) => priority))
  const ofOrganisations = sortRanks(
    organisations.map(({priority}) => priority ?? Infinity)
  )
  const count = ofOrganisations.length * ofRoutes.length
  return (organisation, route) => {
    const organisationIndex = rankIndexOf(ofOrganisations, organisation ?? Infinity)
    const index = organisationIndex * ofRoutes.length + rankIndexOf(ofRoutes, route)
    return count <= LOWEST_RANK + 1
      ? index
      : Math.floor((index * (LOWEST_RANK + 1)) / count)
  }
}

function sortRanks(ranks: readonly number[]): number[] {
  return [...new Set(ranks)].sort((a, b) => a - b)
}

function rankIndexOf(sorted: readonly number[], rank: number): number {
  const index = sorted.findIndex(each => each >= rank)
  return index < 0 ? sorted.length - 1 : index
}
