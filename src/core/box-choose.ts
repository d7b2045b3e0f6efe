/** Which backend server gets a request, among those that can serve it now. */
import type {BackendRecord} from "../types/fleet.js"
import {adapterKey} from "../types/fleet.js"
import {isOutdated} from "./adapter-versions.js"
import {viewOf} from "./box-places.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {weighMember} from "../utils/rendezvous.js"
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

/**
 * Differences in load that mean nothing, tokens. Many boxes are told loads seldom: all that were told
 * the same must not choose the same engine.
 */
const ALIKE_TOKENS = 10
const MANY_ALIKE_TOKENS = 3_000

/** Work in tokens that a request counts for which this box sent and the leader has not counted. */
const OWN_TOKENS = 100

/** The best backend server for a request now, if any can take it. */
export function chooseBackend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): Candidate | undefined {
  const candidates = listCandidates(box, request, now)
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
function homeOf(
  {arrival: {prefix, weights}}: BoxRequest,
  candidates: readonly Option[]
): string | undefined {
  if (!prefix || candidates.length < 2) return undefined
  const key = `${weights?.adapter ?? ""} ${prefix.key}`
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

function listCandidates(box: BoxServing, request: BoxRequest, now: number): Option[] {
  const {service, weights} = request.arrival
  const candidates: Option[] = []
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    if ((request.avoided.get(record.id) ?? 0) > now) continue
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
    if (isOutdated(box.versions.get(key) ?? [], place.version, now)) continue
    candidates.push({backend: record, version: place.version})
  }
  return candidates
}

function costOf(
  box: BoxServing,
  request: BoxRequest,
  backend: BackendRecord,
  now: number
): number {
  const own = box.busy.get(backend.id) ?? 0
  const far = backend.dataCentre === box.options.dataCentre ? 0 : FAR_TOKENS
  const suspect = (box.suspects.get(backend.id) ?? 0) > now ? 1e6 : 0
  const doubtful = box.backends.known.get(backend.id)?.goneAt === undefined ? 0 : 1e5
  const failed = request.avoided.has(backend.id) ? 1e5 : 0
  const load = request.arrival.weights ? (box.engines.get(backend.id)?.load ?? 0) : 0
  const alike = isSmall(box.boxes) ? ALIKE_TOKENS : MANY_ALIKE_TOKENS
  const jitter = box.options.random() * alike
  return load + own * OWN_TOKENS + far + suspect + doubtful + failed + jitter
}
