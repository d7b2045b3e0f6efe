/** Chooses the backend server for a request among those that can serve it now. */
import type {BackendRecord, EngineLimits} from "../types/fleet.js"
import {adapterKey} from "../types/fleet.js"
import {engineViewOf} from "./box-engines.js"
import {listPossibleServers} from "./box-holders.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {isOfVersion} from "./box-streams.js"
import {announcedVersionsFor, canRunOnAnnounced} from "./box-versions.js"
import {answerLengthOf} from "./box-long-answers.js"
import {estimateStallCostMs, estimateStartMs, hasFewPlaces} from "./engine-load.js"
import {overrunMs} from "./long-answers.js"
import {rankMembers, rankWeighted, weighMember} from "../utils/rendezvous.js"
import {isPaced} from "./box-pacing.js"
import {isColdRateUsed, plainServerCosts} from "./box-plain.js"
import {backoffRemainingMs, isReopening} from "./server-notices.js"
import {batchIntervalMs, sendsUnbatched} from "./placement-updates.js"

/** A backend server that can take a request, with the adapter version it holds. */
interface ServerOption {
  readonly backend: BackendRecord
  readonly version: number | undefined
}

export interface Candidate extends ServerOption {
  /** Estimated prompt tokens that the engine still has to prefill. */
  readonly uncachedTokens: number
}

/** Cost of a backend server in another data centre, as equivalent prompt tokens. */
const REMOTE_COST_TOKENS = 300

/**
 * The same for a backend server that only other boxes reach: servers that this box
 * reaches are preferred, unless they are suspect.
 */
const UNREACHED_COST_TOKENS = 50_000

/** Jitter that breaks ties among similar loads. */
const JITTER_TOKENS = 10
/**
 * Jitter for many boxes, which receive load reports rarely: larger, so that boxes with
 * the same report do not all choose the same engine.
 */
const MANY_BOXES_JITTER_TOKENS = 3_000

/**
 * Tolerated excess over the candidates' mean load, about 200 ms of prefill; an engine
 * above it is skipped for the next in rank. A lower bound sends prefixes away from the
 * engines that cached them; a higher one lets work pile up. Late first answers in a
 * simulation of 195 boxes and 55 engines at three quarters of their prefill rate: 0.6 to
 * 1.9 % at 0, 0.3 to 0.6 % at 2,000, 0.3 to 0.4 % at 4,000 and 1.8 % at 20,000 tokens.
 */
const EXCESS_LOAD_TOKENS = 4_000

/** Delay of a load report beyond the batch intervals. */
const REPORT_DELAY_MS = 20

/**
 * Estimated work of a request that this box sent and the leader's load may not yet
 * include.
 */
const OWN_REQUEST_TOKENS = 100

/**
 * Returns the best backend server for a request, or undefined if none can take it now.
 */
export function chooseBackend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): Candidate | undefined {
  const candidates = listCandidates(box, request, now)
  const limits = box.table?.services.get(request.arrival.service)?.engine
  if (hasFewPlaces(limits)) {
    const chosen = chooseByStart(box, request, candidates, limits, now)
    if (chosen) return chosen
  }
  const ranked = sendsUnbatched(box.boxCount)
    ? undefined
    : chooseByRank(box, request, candidates, now)
  return ranked ?? chooseByCost(box, request, candidates, now)
}

/**
 * Consistent hashing with bounded loads, for engines and many boxes. All boxes rank the
 * engines in the same order for a shared prefix and take the first whose load is within
 * the bound. If boxes choose the least reported load instead, they all choose the same
 * engine until the next report: in a simulation of 195 boxes 9 to 13 % of first answers
 * were late, against 0.3 to 0.4 % with this method.
 */
function chooseByRank(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly ServerOption[],
  now: number
): Candidate | undefined {
  const {tokens, prefix, weights} = request.arrival
  const healthy = candidates.filter(({backend}) =>
    isHealthy(box, request, backend.id, now)
  )
  if (!weights || healthy.length < 2) return undefined
  const loads = new Map(
    healthy.map(({backend}) => [backend.id, waitingTokensAt(box, backend.id)])
  )
  const total = [...loads.values()].reduce((sum, load) => sum + load, 0)
  const bound = total / healthy.length + EXCESS_LOAD_TOKENS
  const prefixKey = prefix?.key ?? String(box.options.random())
  const ranked = rankMembers(toPrefixCacheKey(request, prefixKey), [...loads.keys()])
  const chosen = ranked.find(id => (loads.get(id) ?? 0) <= bound)
  const option = healthy.find(({backend}) => backend.id === chosen)
  const cached = chosen === ranked[0] ? cachedTokens(box, request, now) : 0
  return option && {...option, uncachedTokens: tokens - cached}
}

/**
 * Tolerated excess over the candidates' mean time until a request starts. As
 * `EXCESS_LOAD_TOKENS`, in time, since engines differ in speed.
 */
const EXCESS_START_MS = 80

/**
 * Consistent hashing with bounded loads, for engines with few places that differ in speed.
 * Faster engines come first for more prefixes, and the bound is on the time until the
 * request starts. If it is exceeded everywhere, the engine that starts first is taken.
 */
function chooseByStart(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly ServerOption[],
  limits: EngineLimits,
  now: number
): Candidate | undefined {
  const {tokens, prefix} = request.arrival
  const healthy = candidates.filter(({backend}) =>
    isHealthy(box, request, backend.id, now)
  )
  if (healthy.length < 2) return undefined
  const unreported = countUnreported(box, now)
  const starts = new Map(
    healthy.map(({backend}) => [
      backend.id,
      startCostMsAt(box, request, backend.id, unreported.get(backend.id), limits, now)
    ])
  )
  const total = [...starts.values()].reduce((sum, ms) => sum + ms, 0)
  const bound = total / healthy.length + EXCESS_START_MS
  const prefixKey = prefix?.key ?? String(box.options.random())
  const weights = healthy.map(
    ({backend}) => [backend.id, engineViewOf(box, backend).speed] as const
  )
  const ranked = rankWeighted(toPrefixCacheKey(request, prefixKey), weights)
  const chosen =
    ranked.find(id => (starts.get(id) ?? 0) <= bound) ??
    ranked.reduce((a, b) => ((starts.get(b) ?? 0) < (starts.get(a) ?? 0) ? b : a))
  const option = healthy.find(({backend}) => backend.id === chosen)
  const cached = chosen === ranked[0] ? cachedTokens(box, request, now) : 0
  return option && {...option, uncachedTokens: tokens - cached}
}

/** What this box sent to an engine since the load that it last received. */
interface UnreportedLoad {
  requests: number
  tokens: number
}

/**
 * Counts the sends of this box that the last received load may lack: they reach the leader
 * with one batch, and come back with another.
 */
function countUnreported(box: BoxServing, now: number): Map<string, UnreportedLoad> {
  const since = now - 2 * batchIntervalMs(box.boxCount) - REPORT_DELAY_MS
  const counts = new Map<string, UnreportedLoad>()
  for (const {attempt} of box.requests.values()) {
    if (!attempt || attempt.sentAt < since) continue
    const load = counts.get(attempt.backend) ?? {requests: 0, tokens: 0}
    counts.set(attempt.backend, load)
    load.requests++
    if (attempt.firstByteAt === undefined) load.tokens += attempt.uncachedTokens
  }
  return counts
}

/**
 * Time until the request starts at an engine, what it costs the streams there, and by how
 * much its answer would take too long.
 */
function startCostMsAt(
  box: BoxServing,
  request: BoxRequest,
  id: string,
  own: UnreportedLoad | undefined,
  {batch}: EngineLimits,
  now: number
): number {
  const {tokens, route} = request.arrival
  const {waitingTokens = 0, running = 0, speed = 1} = box.engines.get(id) ?? {}
  const load = {
    waitingTokens: waitingTokens + (own?.tokens ?? 0),
    running: running + (own?.requests ?? 0),
    speed
  }
  const rate = box.prefillTokensPerMs
  const lateMs = overrunMs(answerLengthOf(request, now), load.speed)
  const stallMs = estimateStallCostMs(
    load,
    {tokens, gapTargetMs: route.gapTargetMs},
    rate
  )
  return estimateStartMs(load, batch, rate) + stallMs + lateMs
}

/** Chooses the candidate with the least cost. */
function chooseByCost(
  box: BoxServing,
  request: BoxRequest,
  candidates: readonly ServerOption[],
  now: number
): Candidate | undefined {
  const {tokens, prefix} = request.arrival
  const preferred = findPreferredEngine(request, candidates)
  const cached = cachedTokens(box, request, now)
  const plainCosts = plainServerCosts(box, request, candidates, now)
  let best: Candidate | undefined
  let least = Infinity
  for (const candidate of candidates) {
    const {backend} = candidate
    const isPreferred = preferred === undefined || preferred === backend.id
    const lostPrefixTokens = isPreferred ? 0 : (prefix?.tokens ?? 0)
    const plainCost = plainCosts?.get(backend.id) ?? 0
    const cost = lostPrefixTokens + plainCost + costOf(box, request, backend, now)
    if (cost < least) {
      least = cost
      best = {...candidate, uncachedTokens: tokens - (isPreferred ? cached : 0)}
    }
  }
  return best
}

/**
 * Returns the preferred engine for the prompt's shared prefix. All boxes find the same
 * one by rendezvous hashing over prefix and adapter, so that from its first request on
 * each prefix is prefilled on one engine instead of on every engine that holds the
 * adapter. Load there is weighed against the saved prefill: another engine is chosen as
 * soon as it would start earlier, even though it has to prefill the whole prompt.
 */
function findPreferredEngine(
  request: BoxRequest,
  candidates: readonly ServerOption[]
): string | undefined {
  const {prefix} = request.arrival
  if (!prefix || candidates.length < 2) return undefined
  const key = toPrefixCacheKey(request, prefix.key)
  let preferred: string | undefined
  let highest = -1
  for (const {backend} of candidates) {
    const weight = weighMember(key, backend.id)
    if (weight > highest) {
      highest = weight
      preferred = backend.id
    }
  }
  return preferred
}

/** Key of a shared prefix; engines cache prefixes per adapter. */
function toPrefixCacheKey({arrival: {weights}}: BoxRequest, prefixKey: string): string {
  return `${weights?.adapter ?? ""} ${prefixKey}`
}

/** Estimated prompt tokens that the preferred engine has cached from earlier requests. */
function cachedTokens(box: BoxServing, {arrival}: BoxRequest, now: number): number {
  const {prefix, weights, route, tokens} = arrival
  if (!prefix) return 0
  const adapter = weights?.adapter ?? ""
  const share = box.prefixes.cacheProbability(route.name, adapter, box.boxCount, now)
  return Math.round(Math.min(tokens, prefix.tokens) * share)
}

/** Whether the service has any backend server that is not leaving. */
export function hasBackends(box: BoxServing, service: string): boolean {
  for (const {record} of box.backends.known.values()) {
    if (record.service === service && !record.leaving) return true
  }
  return false
}

/** Returns the rate-limited servers that could take the request now. */
export function listRateLimitedServers(
  box: BoxServing,
  request: BoxRequest,
  now: number
): string[] {
  if (box.advertisedRates.list().length === 0) return []
  return listOptions(box, request, now)
    .map(({backend}) => backend.id)
    .filter(id => box.advertisedRates.of(id) !== undefined)
}

function listCandidates(
  box: BoxServing,
  request: BoxRequest,
  now: number
): ServerOption[] {
  return listOptions(box, request, now).filter(
    ({backend}) =>
      !isPaced(box, backend.id, now) && !isColdRateUsed(box, request, backend, now)
  )
}

/** Whether another server, which is healthy and not slow, can take the request now. */
export function hasOtherFastServer(
  box: BoxServing,
  request: BoxRequest,
  server: string,
  now: number
): boolean {
  return listCandidates(box, request, now).some(
    ({backend: {id}}) =>
      id !== server && !box.plainServers.isSlow(id) && isHealthy(box, request, id, now)
  )
}

/** Whether another server of the service is healthy, whatever it holds. */
export function hasOtherHealthyServer(
  box: BoxServing,
  request: BoxRequest,
  server: string,
  now: number
): boolean {
  for (const {record} of box.backends.known.values()) {
    if (record.service !== request.arrival.service || record.leaving) continue
    if (record.id !== server && isHealthy(box, request, record.id, now)) return true
  }
  return false
}

/** Returns the servers that can take the request now, regardless of their rate limits. */
function listOptions(box: BoxServing, request: BoxRequest, now: number): ServerOption[] {
  const {service, weights} = request.arrival
  const key =
    weights?.adapter === undefined
      ? undefined
      : adapterKey(weights.model, weights.adapter)
  const candidates: ServerOption[] = []
  const announced = announcedVersionsFor(box, request)
  for (const record of listPossibleServers(box, service, key)) {
    const engine = weights && engineViewOf(box, record)
    const slot = key === undefined ? undefined : engine?.slots.get(key)
    if (key !== undefined && !(slot && slot.readyAt <= now)) continue
    if (!isOfVersion(request, record)) continue
    if (request.silentAttempt?.backend === record.id) continue
    if ((request.avoided.get(record.id) ?? 0) > now) continue
    if (backoffRemainingMs(box, record.id, now) > 0) continue
    if (isReopening(box, record.id, now)) continue
    if (!engine) {
      candidates.push({backend: record, version: undefined})
      continue
    }
    if (!engine.models.has(weights.model)) continue
    if (!slot) {
      candidates.push({backend: record, version: undefined})
      continue
    }
    const waitMs = waitingTokensAt(box, record.id) / box.prefillTokensPerMs
    if (!canRunOnAnnounced(request, announced, slot.version, now, waitMs)) continue
    candidates.push({backend: record, version: slot.version})
  }
  return candidates
}

/** Whether the backend server is listed, not suspect and not avoided by this request. */
function isHealthy(
  box: BoxServing,
  {avoided}: BoxRequest,
  id: string,
  now: number
): boolean {
  const listed = box.backends.known.get(id)?.expiresAt === undefined
  return (
    listed &&
    box.reach.reaches(id) &&
    (box.suspectUntil.get(id) ?? 0) <= now &&
    !avoided.has(id)
  )
}

/**
 * Estimated prompt tokens that wait at an engine: the reported load, and this box's
 * requests in progress.
 */
function waitingTokensAt(box: BoxServing, id: string): number {
  return (
    (box.engines.get(id)?.waitingTokens ?? 0) +
    (box.inProgress.get(id) ?? 0) * OWN_REQUEST_TOKENS
  )
}

function costOf(
  box: BoxServing,
  request: BoxRequest,
  backend: BackendRecord,
  now: number
): number {
  const remoteCost =
    backend.dataCentre === box.options.dataCentre ? 0 : REMOTE_COST_TOKENS
  // Failures on a path that is down say nothing about the server.
  const isReached = box.reach.reaches(backend.id)
  const isSuspect = isReached && (box.suspectUntil.get(backend.id) ?? 0) > now
  const suspectCost = isSuspect ? 1e6 : 0
  const pathCost = isReached ? 0 : UNREACHED_COST_TOKENS
  const unlistedCost =
    box.backends.known.get(backend.id)?.expiresAt === undefined ? 0 : 1e5
  const failedCost = request.avoided.has(backend.id) ? 1e5 : 0
  const ownTokens = (box.inProgress.get(backend.id) ?? 0) * OWN_REQUEST_TOKENS
  const waitingTokens = request.arrival.weights
    ? waitingTokensAt(box, backend.id)
    : ownTokens
  const jitterTokens = sendsUnbatched(box.boxCount)
    ? JITTER_TOKENS
    : MANY_BOXES_JITTER_TOKENS
  const jitter = box.options.random() * jitterTokens
  return (
    waitingTokens +
    remoteCost +
    pathCost +
    suspectCost +
    unlistedCost +
    failedCost +
    jitter
  )
}
