/** Time limits of calls as abort signals. */

export interface TimeLimit {
  /** Aborts when the time is over, or when the parent does. */
  readonly signal: AbortSignal
  /** Whether the time was over. */
  readonly isOver: () => boolean
  /** To be called when the call has ended. */
  readonly clear: () => void
}

/**
 * Limits a call that may be aborted besides. Not by `AbortSignal.any` with `AbortSignal.timeout`:
 * node 20 may collect a signal that only such a combination refers to, and then it never aborts.
 */
export function limitTime(ms: number, parent?: AbortSignal): TimeLimit {
  const controller = new AbortController()
  let over = false
  const timer = setTimeout(() => {
    over = true
    controller.abort(new DOMException(`no answer within ${ms} ms`, "TimeoutError"))
  }, ms)
  const abort = (): void => controller.abort(parent?.reason)
  if (parent?.aborted) abort()
  parent?.addEventListener("abort", abort, {once: true})
  return {
    signal: controller.signal,
    isOver: () => over,
    clear: () => {
      clearTimeout(timer)
      parent?.removeEventListener("abort", abort)
    }
  }
}
