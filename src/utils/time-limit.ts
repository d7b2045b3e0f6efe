import {startAnswerTimer} from "./timers.js"

export interface TimeLimit {
  /** Aborts after the time limit, or when the parent signal aborts. */
  readonly signal: AbortSignal
  /** Whether the call exceeded the time limit. */
  readonly hasExpired: () => boolean
  /** Must be called at the end of the call. */
  readonly clear: () => void
}

/**
 * Creates an abort signal with a time limit and an optional parent. Does not combine
 * `AbortSignal.any` with `AbortSignal.timeout`, because Node 20 may garbage-collect a
 * signal that is only referenced by the combination, which then never aborts.
 */
export function limitTime(ms: number, parent?: AbortSignal): TimeLimit {
  const controller = new AbortController()
  let expired = false
  const timer = startAnswerTimer(ms, () => {
    expired = true
    controller.abort(new DOMException(`no answer within ${ms} ms`, "TimeoutError"))
  })
  const abort = (): void => controller.abort(parent?.reason)
  if (parent?.aborted) abort()
  parent?.addEventListener("abort", abort, {once: true})
  return {
    signal: controller.signal,
    hasExpired: () => expired,
    clear: () => {
      timer.clear()
      parent?.removeEventListener("abort", abort)
    }
  }
}
