import {startAnswerTimer} from "./timers.js"

/** Resolves after `ms` milliseconds; a negative time counts as 0. */
export function pause(ms: number): Promise<undefined> {
  return new Promise(resolve => setTimeout(() => resolve(undefined), Math.max(0, ms)))
}

/**
 * Resolves after `ms` milliseconds, and not before the event loop has accepted the
 * connections and read the data that arrived meanwhile.
 */
export function pauseAndRead(ms: number): Promise<void> {
  return new Promise(resolve => startAnswerTimer(Math.max(0, ms), resolve))
}

/** Resolves to the first success. If all fail, rejects with the first attempt's error. */
export async function firstSuccess<T>(attempts: readonly Promise<T>[]): Promise<T> {
  try {
    return await Promise.any(attempts)
  } catch (cause) {
    throw cause instanceof AggregateError ? cause.errors[0] : cause
  }
}

/**
 * Sends a request, and a second one if the first takes longer than `ms`. Resolves to the
 * first success.
 */
export function hedgeAfter<T>(ms: number, send: () => Promise<T>): Promise<T> {
  const first = send()
  const sendSecond = async (): Promise<T> => {
    const settled = first.then(
      () => true,
      () => true
    )
    const late = new Promise<false>(resolve => startAnswerTimer(ms, () => resolve(false)))
    // If the first request fails, the caller of this function decides about a retry.
    if (await Promise.race([settled, late])) return first
    return send()
  }
  return firstSuccess([first, sendSecond()])
}
