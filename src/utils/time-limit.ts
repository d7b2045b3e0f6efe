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
 * signal that is only referenced by the combination, which then never aborts. `extendMs` is
 * called at the end of the limit, and returns for how much longer it lasts; 0 ends it.
 */
export function limitTime(
  ms: number,
  parent?: AbortSignal,
  extendMs: () => number = () => 0
): TimeLimit {
  const controller = new AbortController()
  let expired = false
  const expire = (): void => {
    const moreMs = extendMs()
    if (moreMs > 0) return void (timer = startAnswerTimer(moreMs, expire))
    expired = true
    controller.abort(new DOMException(`no answer within ${ms} ms`, "TimeoutError"))
  }
  let timer = startAnswerTimer(ms, expire)
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
