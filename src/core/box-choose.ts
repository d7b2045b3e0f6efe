/** Which backend server gets a request, among those that can serve it now. */
import type {BackendRecord} from "../types/fleet.js"
import {adapterKey} from "../types/fleet.js"
import {viewOf} from "./box-places.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {mayRunOn} from "./box-versions.js"
import {rankMembers, weighMember} from "../utils/rendezvous.js"
import {isPaced} from "./box-pacing.js"
import {restsForMs} from "./server-notices.js"
import {isSmall} from "./placement-news.js"

/** A backend server that can take a request, with the version of the weights it holds. */
export interface Candidate {
  readonly backend: BackendRecord
  readonly version: number | undefined
  /** Prompt tokens that it is believed to have to read. */
  readonly unread: number
}

/** A backend server that can take a request, before its cost is known. */
type Option = Omit<Candidate, "unread">

/** Work in tokens that weighs as much as another data centre does. */
const FAR_TOKENS = 300

/** Differences in load that mean nothing, tokens. */
const ALIKE_TOKENS = 10
/** The same where loads are told seldom: all that were told alike must not choose the same engine. */
const MANY_ALIKE_TOKENS = 3_000

/**
 * Work beyond the mean of those that can take a request, past which an engine is passed over for the
 * next in rank, tokens: what an engine reads in 200 ms. Less sends beginnings away from where they were read,
 * more lets work pile up. Late first answers by simulation of 195 boxes and 55 engines at three quarters
 * of what these can read: 0.6 to 1.9 in 100 at none, 0.3 to 0.6 at 2,000, 0.3 to 0.4 at 4,000, 1.8 at 20,000.
 */
const BOUND_TOKENS = 4_000

/** Work in tokens that a request counts for which this box sent and the leader has not counted. */
const OWN_TOKENS = 100

/** The best backend server for a request now, if any can take it. */
export function chooseBackend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): Candidate | undefined {
  const candidates = listCandidates(box, request, now)
  const ranked = isSmall(box.boxes)
    ? undefined
    : chooseByRank(box, request, candidates, now)
  return ranked ?? chooseByCost(box, request, candidates, now)
}

/**
 * Consistent hashing with bounded loads, for engines and many boxes. All boxes rank the engines alike
 * for a prompt's beginning, and take the first that has not more than its part of the work. Boxes that
 * choose the least of what was told some time ago all choose the same engine until they are told again:
 * at 195 boxes 9 to 13 in 100 first answers were late by simulation, of which 0.3 to 0.4 are left.
 */
function chooseByRank(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly Option[],
  now: number
): Candidate | undefined {
  const {tokens, prefix, weights} = request.arrival
  const sound = candidates.filter(({backend}) => isSound(box, request, backend.id, now))
  if (!weights || sound.length < 2) return undefined
  const loads = new Map(sound.map(({backend}) => [backend.id, workAt(box, backend.id)]))
  const total = [...loads.values()].reduce((sum, load) => sum + load, 0)
  const bound = total / sound.length + BOUND_TOKENS
  const beginning = prefix?.key ?? String(box.options.random())
  const ranked = rankMembers(beginningKey(request, beginning), [...loads.keys()])
  const chosen = ranked.find(id => (loads.get(id) ?? 0) <= bound)
  const option = sound.find(({backend}) => backend.id === chosen)
  const kept = chosen === ranked[0] ? keptTokens(box, request, now) : 0
  return option && {...option, unread: tokens - kept}
}

/** The least cost wins. */
function chooseByCost(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly Option[],
  now: number
): Candidate | undefined {
  const {tokens, prefix} = request.arrival
  const home = homeOf(request, candidates)
  const kept = keptTokens(box, request, now)
  let best: Candidate | undefined
  let least = Infinity
  for (const candidate of candidates) {
    const {backend} = candidate
    const isHome = home === undefined || home === backend.id
    const away = isHome ? 0 : (prefix?.tokens ?? 0)
    const cost = away + costOf(box, request, backend, now)
    if (cost < least) {
      least = cost
      best = {...candidate, unread: tokens - (isHome ? kept : 0)}
    }
  }
  return best
}

/**
 * The candidate that is to keep the prompt's shared beginning. All boxes find the same one by
 * rendezvous hashing over beginning and adapter, so that each beginning is read at one engine and
 * not at every one that holds the adapter, from its first request on. Work there weighs against
 * what it saves: another engine is taken as soon as it would begin earlier although it reads all.
 */
function homeOf(request: BoxRequest, candidates: readonly Option[]): string | undefined {
  const {prefix} = request.arrival
  if (!prefix || candidates.length < 2) return undefined
  const key = beginningKey(request, prefix.key)
  let home: string | undefined
  let most = -1
  for (const {backend} of candidates) {
    const weight = weighMember(key, backend.id)
    if (weight > most) {
      most = weight
      home = backend.id
    }
  }
  return home
}

/** A beginning is kept for one adapter. */
function beginningKey({arrival: {weights}}: BoxRequest, beginning: string): string {
  return `${weights?.adapter ?? ""} ${beginning}`
}

/** Prompt tokens that its home is believed to have read for earlier requests. */
function keptTokens(box: BoxServing, {arrival}: BoxRequest, now: number): number {
  const {prefix, weights, route, tokens} = arrival
  if (!prefix) return 0
  const adapter = weights?.adapter ?? ""
  const share = box.prefixes.keptShare(route.name, adapter, box.boxes, now)
  return Math.round(Math.min(tokens, prefix.tokens) * share)
}

/** Whether some backend server of the service may be sent requests at all. */
export function hasBackends(box: BoxServing, service: string): boolean {
  for (const {record} of box.backends.known.values()) {
    if (record.service === service && !record.leaving) return true
  }
  return false
}

/** The servers that could take the request now, and named a rate. */
export function listPacedServers(
  box: BoxServing,
  request: BoxRequest,
  now: number
): string[] {
  if (box.rates.list().length === 0) return []
  return listOptions(box, request, now)
    .map(({backend}) => backend.id)
    .filter(id => box.rates.of(id) !== undefined)
}

function listCandidates(box: BoxServing, request: BoxRequest, now: number): Option[] {
  return listOptions(box, request, now).filter(
    ({backend}) => !isPaced(box, backend.id, now)
  )
}

/** The servers that can take the request now, whatever rates they named. */
function listOptions(box: BoxServing, request: BoxRequest, now: number): Option[] {
  const {service, weights} = request.arrival
  const candidates: Option[] = []
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    if ((request.avoided.get(record.id) ?? 0) > now) continue
    if (restsForMs(box, record.id, now) > 0) continue
    if (!weights) {
      candidates.push({backend: record, version: undefined})
      continue
    }
    const view = viewOf(box, record)
    if (!view.models.has(weights.model)) continue
    if (weights.adapter === undefined) {
      candidates.push({backend: record, version: undefined})
      continue
    }
    const key = adapterKey(weights.model, weights.adapter)
    const place = view.places.get(key)
    if (!place || place.readyAt > now) continue
    const waitMs = workAt(box, record.id) / box.tokensPerMs
    if (!mayRunOn(box, request, place.version, now, waitMs)) continue
    candidates.push({backend: record, version: place.version})
  }
  return candidates
}

/** Whether nothing speaks against the backend server but its load. */
function isSound(
  box: BoxServing,
  {avoided}: BoxRequest,
  id: string,
  now: number
): boolean {
  const listed = box.backends.known.get(id)?.goneAt === undefined
  return listed && (box.suspects.get(id) ?? 0) <= now && !avoided.has(id)
}

/** Prompt tokens that wait at an engine: as told, and as this box sent since. */
function workAt(box: BoxServing, id: string): number {
  return (box.engines.get(id)?.load ?? 0) + (box.busy.get(id) ?? 0) * OWN_TOKENS
}

function costOf(
  box: BoxServing,
  request: BoxRequest,
  backend: BackendRecord,
  now: number
): number {
  const far = backend.dataCentre === box.options.dataCentre ? 0 : FAR_TOKENS
  const suspect = (box.suspects.get(backend.id) ?? 0) > now ? 1e6 : 0
  const doubtful = box.backends.known.get(backend.id)?.goneAt === undefined ? 0 : 1e5
  const failed = request.avoided.has(backend.id) ? 1e5 : 0
  const own = (box.busy.get(backend.id) ?? 0) * OWN_TOKENS
  const work = request.arrival.weights ? workAt(box, backend.id) : own
  const alike = isSmall(box.boxes) ? ALIKE_TOKENS : MANY_ALIKE_TOKENS
  const jitter = box.options.random() * alike
  return work + far + suspect + doubtful + failed + jitter
}
