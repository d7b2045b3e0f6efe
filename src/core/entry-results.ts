/** Handles the end of an attempt: the answer or a retry, and the release of its pin. */
import {withEntry} from "../utils/collections.js"
import {hasValidKey} from "./entry-access.js"
import type {EntryDraft} from "./entry-draft.js"
import {drawBackoffMs, findOwner, logEvent, send, updateRequest} from "./entry-draft.js"
import {settleKey} from "./entry-register.js"
import {findEngine, refuseRequest, RETRY_AFTER_MS} from "./entry-requests.js"
import {scheduleResume} from "./entry-resume.js"
import type {
  BackendResult,
  EndedAttempt,
  EntryEvent,
  EntryRequest
} from "./entry-state.js"
import {cellShare} from "./keeper-state.js"
import type {Done} from "../types/messages.js"
import type {ErrorCode} from "../errors.js"

const MAX_ATTEMPTS = 5
const CANCEL_RETRY_MS = 500

/** How long other backend servers are preferred to one that refused or was lost. */
const AVOID_MS = 1_000

const NOT_RUN: ReadonlySet<BackendResult> = new Set([
  "not-loaded",
  "refused",
  "stale-grant",
  "not-sent"
])
const AVOIDED_AFTER: ReadonlySet<BackendResult> = new Set([
  "refused",
  "not-sent",
  "lost",
  "gone",
  "timeout"
])

const CODES_OF_UNKNOWN_OUTCOME: Readonly<Partial<Record<BackendResult, ErrorCode>>> = {
  timeout: "deadline-passed",
  "wrong-model": "wrong-model"
}

type AttemptResult = Omit<Extract<EntryEvent, {type: "backend-result"}>, "type">

/** Handles the result of a request's current attempt. */
export function handleBackendResult(
  draft: EntryDraft,
  {request: id, result, replied, progressed = false}: AttemptResult
): void {
  const request = draft.requests.get(id)
  if (!request || request.phase !== "running") return
  if (result === "lost" && scheduleResume(draft, request, replied, progressed)) return
  endAttempt(draft, request, result)
  if (AVOIDED_AFTER.has(result)) avoidBackend(draft, request.backend)
  if (result === "ok" || result === "answered-error") {
    draft.requests.delete(id)
    settleKey(draft, request, "answered")
    return
  }
  if (NOT_RUN.has(result))
    return retryOrFail(draft, request, "backend-refused", "not-run")
  if (result === "abandoned") return endAsUnknown(draft, request)
  const code = CODES_OF_UNKNOWN_OUTCOME[result] ?? "backend-lost"
  if (replied) return breakOffAnswer(draft, request, code)
  if (request.repeatable && (result === "lost" || result === "gone"))
    return retryOrFail(draft, request, code, "unknown")
  failRequest(draft, request, code)
}

function avoidBackend(draft: EntryDraft, backend: string): void {
  const avoided = withEntry(draft.state.avoidedUntil, backend, draft.now + AVOID_MS)
  draft.state = {...draft.state, avoidedUntil: avoided}
}

function endAsUnknown(draft: EntryDraft, request: EntryRequest): void {
  draft.requests.delete(request.request)
  settleKey(draft, request, "unknown")
}

function breakOffAnswer(draft: EntryDraft, request: EntryRequest, code: ErrorCode): void {
  endAsUnknown(draft, request)
  draft.effects.push({type: "break-off", request: request.request, code})
}

function failRequest(draft: EntryDraft, request: EntryRequest, code: ErrorCode): void {
  endAsUnknown(draft, request)
  draft.effects.push({type: "answer", request: request.request, code})
}

/** Schedules a retry within the retry budget and the time limit; otherwise answers. */
function retryOrFail(
  draft: EntryDraft,
  request: EntryRequest,
  code: ErrorCode,
  outcome: "not-run" | "unknown"
): void {
  const attempts = request.attempts + 1
  const mayRetry = attempts < MAX_ATTEMPTS && hasValidKey(draft.state.config, request)
  const budget = draft.state.retryTokens
  const retryAt = draft.now + drawBackoffMs(draft, attempts)
  if (mayRetry && budget >= 1 && retryAt < request.expiresAt) {
    draft.state = {...draft.state, retryTokens: budget - 1}
    logEvent(draft, "retry", {request: request.request, attempts})
    updateRequest(draft, request.request, {
      phase: "asking",
      attempts,
      attempt: `${request.request}.${attempts}`,
      retryAt,
      mayHaveRun: request.mayHaveRun || outcome === "unknown",
      backend: "",
      askedKeeper: ""
    })
    return
  }
  if (outcome === "unknown") return failRequest(draft, request, code)
  refuseRequest(
    draft,
    {...request, phase: "asking", askedKeeper: ""},
    code,
    RETRY_AFTER_MS
  )
}

// Pins

function endAttempt(
  draft: EntryDraft,
  request: EntryRequest,
  result: BackendResult
): void {
  if (request.target.kind !== "model") return
  const ended: EndedAttempt = {
    attempt: request.attempt,
    cell: request.cell,
    engine: request.backend,
    model: request.target.model,
    retryAt: draft.now
  }
  if (result === "ok" || result === "answered-error" || NOT_RUN.has(result)) {
    return reportDone(draft, ended, doneResult(result))
  }
  draft.pendingCancels.set(ended.attempt, ended)
  sendDueCancels(draft)
}

function doneResult(result: BackendResult): Done["result"] {
  if (result === "not-loaded" || result === "refused") return result
  return NOT_RUN.has(result) ? "failed" : "ok"
}

function reportDone(
  draft: EntryDraft,
  ended: EndedAttempt,
  result: Done["result"]
): void {
  const owner = findOwner(draft, cellShare(ended.cell))
  if (owner === undefined) return
  const {cell, attempt, engine} = ended
  send(draft, owner, {t: "done", cell, request: attempt, engine, result})
}

/** Sends the cancels that are due. */
export function sendDueCancels(draft: EntryDraft): void {
  for (const [attempt, ended] of draft.pendingCancels) {
    if (ended.retryAt === undefined || ended.retryAt > draft.now) continue
    const server = findEngine(draft, ended.engine)
    if (!server) {
      finishCancel(draft, ended)
      continue
    }
    draft.pendingCancels.set(attempt, {...ended, retryAt: undefined})
    draft.effects.push({type: "cancel", attempt, address: server.address})
  }
}

/** Handles the result of a cancel. */
export function handleCancelResult(
  draft: EntryDraft,
  attempt: string,
  confirmed: boolean
): void {
  const ended = draft.pendingCancels.get(attempt)
  if (!ended) return
  if (confirmed) return finishCancel(draft, ended)
  draft.pendingCancels.set(attempt, {...ended, retryAt: draft.now + CANCEL_RETRY_MS})
}

function finishCancel(draft: EntryDraft, ended: EndedAttempt): void {
  draft.pendingCancels.delete(ended.attempt)
  reportDone(draft, ended, "failed")
}
