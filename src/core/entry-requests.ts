/** The stages of a request in an entry: admission, key recording, grant, dispatch. */
import type {ErrorCode} from "../errors.js"
import type {ModelEngine, PlainService} from "../types/config.js"
import {rankMembers} from "../utils/rendezvous.js"
import {cellsOfBase, findRecord, membersOfService, resolveModel} from "./configuration.js"
import {
  countRequests,
  type EntryDraft,
  findOwner,
  logEvent,
  send,
  updateRequest
} from "./entry-draft.js"
import type {Arrival, EntryRequest, HeldGrant} from "./entry-state.js"
import {reserveKey, settleKey} from "./entry-register.js"
import {cellShare} from "./keeper-state.js"

/** Sent to callers when there is no better estimate. */
export const RETRY_AFTER_MS = 1_000
const RETRY_TOKENS_PER_REQUEST = 0.1
const MAX_RETRY_TOKENS = 50
/**
 * Limits the part of an engine's batch that one entry fills while the cell has no owner.
 */
const OWNERLESS_BATCH_FRACTION = 0.5

/**
 * Admits a request that is within the limits; answers any other with an error at once.
 */
export function admitRequest(draft: EntryDraft, arrival: Arrival): void {
  const refusal = checkLimits(draft, arrival)
  if (refusal) return answerArrival(draft, arrival, refusal, RETRY_AFTER_MS)
  const cell = findCell(draft, arrival)
  if (cell === undefined) return answerUnknownTarget(draft, arrival)
  const patience = arrival.patienceMs ?? draft.options.patienceMs[arrival.class]
  draft.requests.set(arrival.request, {
    ...arrival,
    phase: arrival.key === undefined ? "asking" : "reserving",
    arrivedAt: draft.now,
    expiresAt: draft.now + patience,
    cell,
    askedKeeper: "",
    backend: "",
    attempts: 0,
    attempt: `${arrival.request}.0`,
    retryAt: 0,
    reserved: false,
    startedAt: 0,
    mayHaveRun: false,
    replied: false,
    resumes: 0,
    resumeAt: undefined
  })
  const tokens = draft.state.retryTokens + RETRY_TOKENS_PER_REQUEST
  draft.state = {...draft.state, retryTokens: Math.min(MAX_RETRY_TOKENS, tokens)}
  advanceRequest(draft, arrival.request)
}

function checkLimits(draft: EntryDraft, {organisation}: Arrival): ErrorCode | undefined {
  if (draft.requests.size >= draft.options.maxInProgress) return "box-limit"
  const limit =
    findRecord(draft.state.config, "organisation", organisation)?.value.maxInProgress ?? 0
  const inProgress = countRequests(
    draft,
    request => request.organisation === organisation
  )
  return inProgress >= limit ? "organisation-limit" : undefined
}

/**
 * Returns the cell whose engines serve a model; every entry picks the same one. Empty for
 * a plain service. Undefined if the target is not configured.
 */
function findCell(draft: EntryDraft, {target}: Arrival): string | undefined {
  if (target.kind === "service") {
    return membersOfService(draft.state.config, target.service).size > 0 ? "" : undefined
  }
  const base = resolveModel(draft.state.config, target.model)?.baseModel
  if (base === undefined) return undefined
  return rankMembers(target.model, cellsOfBase(draft.state.config, base))[0]
}

/**
 * Answers "not found" for a service that is not configured. The engines of a model can
 * come back, so its callers are asked to retry.
 */
function answerUnknownTarget(draft: EntryDraft, arrival: Arrival): void {
  if (arrival.target.kind === "service") {
    return answerArrival(draft, arrival, "not-found", undefined)
  }
  answerArrival(draft, arrival, "no-capacity", RETRY_AFTER_MS)
}

/** Moves a waiting request to its next stage if that is possible now. */
export function advanceRequest(draft: EntryDraft, id: string): void {
  const request = draft.requests.get(id)
  if (!request || request.phase === "running") return
  if (request.expiresAt <= draft.now) return expireRequest(draft, request)
  if (request.phase === "reserving") return reserveKey(draft, request)
  if (request.retryAt > draft.now) return
  if (request.target.kind === "service") return sendToMember(draft, request)
  askOwner(draft, request)
}

/** Answers a request that could not be dispatched within its time limit. */
function expireRequest(draft: EntryDraft, request: EntryRequest): void {
  const code = request.phase === "reserving" ? "no-record" : "no-capacity"
  refuseRequest(draft, request, code, RETRY_AFTER_MS)
}

/**
 * Ends a request whose current attempt did not run. An earlier attempt may have run; the
 * answer says so.
 */
export function refuseRequest(
  draft: EntryDraft,
  request: EntryRequest,
  code: ErrorCode,
  retryAfterMs: number | undefined
): void {
  dropRequest(draft, request)
  draft.effects.push({
    type: "answer",
    request: request.request,
    code: request.mayHaveRun ? "backend-lost" : code,
    retryAfterMs
  })
}

/**
 * Removes a request whose current attempt did not run, here and at the keeper that was
 * asked.
 */
export function dropRequest(draft: EntryDraft, request: EntryRequest): void {
  draft.requests.delete(request.request)
  if (request.phase === "asking" && request.askedKeeper !== "") {
    const {cell, attempt} = request
    send(draft, request.askedKeeper, {t: "withdraw", cell, request: attempt})
  }
  settleKey(draft, request, "not-run")
}

function answerArrival(
  draft: EntryDraft,
  {request}: Arrival,
  code: ErrorCode,
  retryAfterMs: number | undefined
): void {
  draft.effects.push({type: "answer", request, code, retryAfterMs})
}

// Model engines

function askOwner(draft: EntryDraft, request: EntryRequest): void {
  if (request.target.kind !== "model") return
  const owner = findOwner(draft, cellShare(request.cell))
  if (owner === undefined)
    return dispatchWithoutOwner(draft, request, request.target.model)
  if (owner === request.askedKeeper) return
  updateRequest(draft, request.request, {askedKeeper: owner})
  send(draft, owner, {
    t: "ask",
    cell: request.cell,
    request: request.attempt,
    organisation: request.organisation,
    class: request.class,
    model: request.target.model,
    prefix: request.prefix,
    patienceMs: request.expiresAt - draft.now
  })
}

/**
 * Dispatches under an earlier grant while the cell has no owner. This is safe because
 * only a later owner can evict the adapter, and it first gets this entry's inventory or
 * waits until this entry has stopped.
 */
function dispatchWithoutOwner(
  draft: EntryDraft,
  request: EntryRequest,
  model: string
): void {
  const usable = [...draft.heldGrants.values()].filter(
    held =>
      held.cell === request.cell &&
      held.model === model &&
      canUseWithoutOwner(draft, held)
  )
  usable.sort((a, b) => countRunningOn(draft, a.engine) - countRunningOn(draft, b.engine))
  const held = usable[0]
  if (!held) return
  logEvent(draft, "ownerless", {cell: request.cell, engine: held.engine, model})
  dispatchToEngine(draft, request, held, {stallMs: 0, fillPercent: undefined})
}

function canUseWithoutOwner(draft: EntryDraft, {cell, engine}: HeldGrant): boolean {
  const server = findEngine(draft, engine)
  if (!server || draft.state.leavingBackends.has(engine)) return false
  if (countRunningOn(draft, engine) >= server.maxBatch * OWNERLESS_BATCH_FRACTION)
    return false
  if (server.checksFences) return true
  const heardAt = draft.ownerSeenAt.get(cellShare(cell)) ?? -Infinity
  return draft.now - heardAt < draft.options.timing.ownerlessMs
}

/** Dispatches a request to an engine under a grant. */
export function dispatchToEngine(
  draft: EntryDraft,
  request: EntryRequest,
  held: HeldGrant,
  grantInfo: {readonly stallMs: number; readonly fillPercent: number | undefined}
): void {
  const server = findEngine(draft, held.engine)
  if (!server) return
  draft.heldGrants.set(heldGrantKey(held), {...held, lastUsed: draft.now})
  startRunning(draft, request, held.engine)
  draft.effects.push({
    type: "dispatch",
    request: request.request,
    attempt: request.attempt,
    backend: held.engine,
    address: server.address,
    fence: held.fence,
    grant: held.grant,
    stallMs: grantInfo.stallMs,
    fillPercent: grantInfo.fillPercent,
    waitedMs: draft.now - request.arrivedAt
  })
}

/** Returns the key of a grant: engine and model. */
export function heldGrantKey({engine, model}: {engine: string; model: string}): string {
  return `${engine}|${model}`
}

/** Finds a model engine in the configuration. */
export function findEngine(draft: EntryDraft, id: string): ModelEngine | undefined {
  const server = findRecord(draft.state.config, "backend", id)?.value
  return server?.kind === "model-engine" ? server : undefined
}

function countRunningOn(draft: EntryDraft, backend: string): number {
  return countRequests(
    draft,
    request => request.phase === "running" && request.backend === backend
  )
}

function startRunning(draft: EntryDraft, request: EntryRequest, backend: string): void {
  updateRequest(draft, request.request, {
    phase: "running",
    askedKeeper: "",
    backend,
    startedAt: draft.now,
    resumes: 0,
    resumeAt: undefined
  })
}

// Plain services

function sendToMember(draft: EntryDraft, request: EntryRequest): void {
  if (request.target.kind !== "service") return
  const members = membersOfService(draft.state.config, request.target.service)
  const usable = [...members].filter(([id, member]) => hasCapacity(draft, id, member))
  usable.sort(
    ([a, left], [b, right]) => scoreMember(draft, a, left) - scoreMember(draft, b, right)
  )
  const best = usable[0]
  if (!best) return
  const [id, {address}] = best
  startRunning(draft, request, id)
  draft.effects.push({
    type: "dispatch",
    request: request.request,
    attempt: request.attempt,
    backend: id,
    address,
    fence: 0,
    grant: 0,
    stallMs: 0,
    fillPercent: undefined,
    waitedMs: draft.now - request.arrivedAt
  })
}

function hasCapacity(draft: EntryDraft, id: string, member: PlainService): boolean {
  return (
    !draft.state.leavingBackends.has(id) &&
    countRunningOn(draft, id) < member.maxInProgress
  )
}

/**
 * Scores a member, lower is better: members that did not fail recently first, then those
 * in the same data centre, then by the fraction of their request limit in use.
 */
function scoreMember(draft: EntryDraft, id: string, member: PlainService): number {
  const remote = member.dataCentre === draft.options.dataCentre ? 0 : 1
  const avoided = (draft.state.avoidedUntil.get(id) ?? 0) > draft.now ? 2 : 0
  return avoided + remote + countRunningOn(draft, id) / member.maxInProgress
}
