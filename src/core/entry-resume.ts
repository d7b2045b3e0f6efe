/**
 * Resumes broken streams at the same engine. A resume runs nothing a second time, so it
 * is also safe for requests that must not be retried. The pin stays until the stream
 * ends.
 */
import {drawBackoffMs, type EntryDraft, logEvent, updateRequest} from "./entry-draft.js"
import {findEngine} from "./entry-requests.js"
import type {EntryRequest} from "./entry-state.js"

/** After this many resumes in a row without an event a broken stream counts as lost. */
const MAX_FRUITLESS_RESUMES = 4

/** Schedules a resume of a broken stream. Returns false if it cannot be resumed. */
export function scheduleResume(
  draft: EntryDraft,
  request: EntryRequest,
  replied: boolean,
  progressed: boolean
): boolean {
  const server = findEngine(draft, request.backend)
  if (!request.streamed || server?.resumesStreams !== true) return false
  const fruitless = progressed ? 0 : request.resumes
  if (fruitless >= MAX_FRUITLESS_RESUMES) return false
  if (draft.now - request.startedAt >= draft.options.timing.requestMaxMs) return false
  const resumes = fruitless + 1
  const resumeAt = draft.now + (resumes === 1 ? 0 : drawBackoffMs(draft, resumes))
  updateRequest(draft, request.request, {resumes, resumeAt, replied})
  resumeIfDue(draft, request.request)
  return true
}

/** Resumes a broken stream if its resume is due. */
export function resumeIfDue(draft: EntryDraft, id: string): void {
  const request = draft.requests.get(id)
  if (request?.resumeAt === undefined || request.resumeAt > draft.now) return
  const {attempt, backend, resumes} = request
  const address = findEngine(draft, backend)?.address ?? ""
  updateRequest(draft, id, {resumeAt: undefined})
  logEvent(draft, "resume", {request: id, engine: backend, resumes})
  draft.effects.push({type: "resume", request: id, attempt, address})
}
