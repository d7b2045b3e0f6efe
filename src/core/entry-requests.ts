/** The way of a request through an entry: admitted, recorded, asked for, sent. */
import type {ErrorCode} from "../errors.js"
import type {ModelEngine, PlainService} from "../types/config.js"
import {rankMembers} from "../utils/rendezvous.js"
import {cellsOfBase, findRecord, membersOfService, resolveModel} from "./configuration.js"
import {
  countRequests,
  type EntryDraft,
  findOwner,
  note,
  send,
  updateRequest
} from "./entry-draft.js"
import type {Arrival, EntryRequest, Held} from "./entry-state.js"
import {reserveKey, settleKey} from "./entry-register.js"
import {cellShare} from "./keeper-state.js"

/** When to come back after a refusal that has no better estimate. */
export const RETRY_AFTER_MS = 1_000
/** What each new request adds to the retry budget. */
const RETRY_TOKENS_PER_REQUEST = 0.1
const MAX_RETRY_TOKENS = 50
/** The part of an engine's batch that one entry may fill without an owner's word. */
const OWNERLESS_SHARE = 0.5

/** Admits a request within the limits, or answers it at once. */
export function admitRequest(draft: EntryDraft, arrival: Arrival): void {
  const refusal = checkLimits(draft, arrival)
  if (refusal) return answerArrival(draft, arrival, refusal, RETRY_AFTER_MS)
  const cell = findCell(draft, arrival)
  if (cell === undefined) return refuseTarget(draft, arrival)
  const patience = arrival.patienceMs ?? draft.options.patienceMs[arrival.class]
  draft.requests.set(arrival.request, {
    ...arrival,
    phase: arrival.key === undefined ? "asking" : "reserving",
    arrivedAt: draft.now,
    giveUpAt: draft.now + patience,
    cell,
    askedOf: "",
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
  const ofOrganisation = countRequests(
    draft,
    request => request.organisation === organisation
  )
  return ofOrganisation >= limit ? "organisation-limit" : undefined
}

/** The cell whose engines serve a model: the same on every entry. Empty for plain services. */
function findCell(draft: EntryDraft, {target}: Arrival): string | undefined {
  if (target.kind === "service") {
    return membersOfService(draft.state.config, target.service).size > 0 ? "" : undefined
  }
  const base = resolveModel(draft.state.config, target.model)?.baseModel
  if (base === undefined) return undefined
  return rankMembers(target.model, cellsOfBase(draft.state.config, base))[0]
}

/** A service nobody configured is not there; a model's engines may come back. */
function refuseTarget(draft: EntryDraft, arrival: Arrival): void {
  if (arrival.target.kind === "service") {
    return answerArrival(draft, arrival, "not-found", undefined)
  }
  answerArrival(draft, arrival, "no-capacity", RETRY_AFTER_MS)
}

/** Takes a request as far as it can go now. */
export function advanceRequest(draft: EntryDraft, id: string): void {
  const request = draft.requests.get(id)
  if (!request || request.phase === "running") return
  if (request.giveUpAt <= draft.now) return giveUp(draft, request)
  if (request.phase === "reserving") return reserveKey(draft, request)
  if (request.retryAt > draft.now) return
  if (request.target.kind === "service") return sendToMember(draft, request)
  askOwner(draft, request)
}

/** Answers a request that nobody could take in time; it did not run. */
function giveUp(draft: EntryDraft, request: EntryRequest): void {
  const code = request.phase === "reserving" ? "no-record" : "no-capacity"
  refuseRequest(draft, request, code, RETRY_AFTER_MS)
}

/** Ends a request whose present attempt did not run; an earlier one may have. */
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

/** Forgets a request that certainly did not run, here and where it was asked for. */
export function dropRequest(draft: EntryDraft, request: EntryRequest): void {
  draft.requests.delete(request.request)
  if (request.phase === "asking" && request.askedOf !== "") {
    const {cell, attempt} = request
    send(draft, request.askedOf, {t: "withdraw", cell, request: attempt})
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
  if (owner === undefined) return serveOwnerless(draft, request, request.target.model)
  if (owner === request.askedOf) return
  updateRequest(draft, request.request, {askedOf: owner})
  send(draft, owner, {
    t: "ask",
    cell: request.cell,
    request: request.attempt,
    organisation: request.organisation,
    class: request.class,
    model: request.target.model,
    prefix: request.prefix,
    patienceMs: request.giveUpAt - draft.now
  })
}

/**
 * Without an owner nothing is evicted, except by a later owner that first hears this entry or
 * waits until it has stopped. Until then a pair that was granted once may still be used.
 */
function serveOwnerless(draft: EntryDraft, request: EntryRequest, model: string): void {
  const usable = [...draft.held.values()].filter(
    held => held.cell === request.cell && held.model === model && mayUseAlone(draft, held)
  )
  usable.sort((a, b) => runningOn(draft, a.engine) - runningOn(draft, b.engine))
  const held = usable[0]
  if (!held) return
  note(draft, "ownerless", {cell: request.cell, engine: held.engine, model})
  dispatchToEngine(draft, request, held, {stallMs: 0, fillPercent: undefined})
}

function mayUseAlone(draft: EntryDraft, {cell, engine}: Held): boolean {
  const server = findEngine(draft, engine)
  if (!server || draft.state.leaving.has(engine)) return false
  if (runningOn(draft, engine) >= server.maxBatch * OWNERLESS_SHARE) return false
  if (server.checksFences) return true
  const heardAt = draft.heardAt.get(cellShare(cell)) ?? -Infinity
  return draft.now - heardAt < draft.options.timing.ownerlessMs
}

/** Sends a request to an engine under a grant. */
export function dispatchToEngine(
  draft: EntryDraft,
  request: EntryRequest,
  held: Held,
  measures: {readonly stallMs: number; readonly fillPercent: number | undefined}
): void {
  const server = findEngine(draft, held.engine)
  if (!server) return
  draft.held.set(heldKey(held), {...held, lastUsed: draft.now})
  startRunning(draft, request, held.engine)
  draft.effects.push({
    type: "dispatch",
    request: request.request,
    attempt: request.attempt,
    backend: held.engine,
    address: server.address,
    fence: held.fence,
    grant: held.grant,
    stallMs: measures.stallMs,
    fillPercent: measures.fillPercent,
    waitedMs: draft.now - request.arrivedAt
  })
}

/** The key of a held pair. */
export function heldKey({engine, model}: {engine: string; model: string}): string {
  return `${engine}|${model}`
}

/** A model engine of the configuration. */
export function findEngine(draft: EntryDraft, id: string): ModelEngine | undefined {
  const server = findRecord(draft.state.config, "backend", id)?.value
  return server?.kind === "model-engine" ? server : undefined
}

function runningOn(draft: EntryDraft, backend: string): number {
  return countRequests(
    draft,
    request => request.phase === "running" && request.backend === backend
  )
}

function startRunning(draft: EntryDraft, request: EntryRequest, backend: string): void {
  updateRequest(draft, request.request, {
    phase: "running",
    askedOf: "",
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
  const usable = [...members].filter(([id, member]) => canTake(draft, id, member))
  usable.sort(
    ([a, left], [b, right]) => memberLoad(draft, a, left) - memberLoad(draft, b, right)
  )
  const chosen = usable[0]
  if (!chosen) return
  const [id, {address}] = chosen
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

function canTake(draft: EntryDraft, id: string, member: PlainService): boolean {
  return !draft.state.leaving.has(id) && runningOn(draft, id) < member.maxInProgress
}

/** Sound ones first, then the own data centre, then the fewest requests in progress. */
function memberLoad(draft: EntryDraft, id: string, member: PlainService): number {
  const far = member.dataCentre === draft.options.dataCentre ? 0 : 1
  const unsound = (draft.state.avoided.get(id) ?? 0) > draft.now ? 2 : 0
  return unsound + far + runningOn(draft, id) / member.maxInProgress
}
