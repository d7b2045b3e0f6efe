/** Timers for answers that may arrive while this process has no processor. */

export interface Timer {
  /** Stops the timer, unless it has expired. */
  readonly clear: () => void
}

/** Parts of a time limit, each of which ends with a turn of the event loop. */
const PARTS = 2

/**
 * Calls `expire` after `ms` milliseconds, and not before the event loop has read what
 * arrived meanwhile. After a turn that took too long, the loop runs its timers before it
 * reads its sockets. One such turn uses up one part of the time at most, so that an answer
 * for which a connection has yet to open counts as well.
 */
export function startAnswerTimer(ms: number, expire: () => void): Timer {
  let timer: NodeJS.Timeout | undefined
  let check: NodeJS.Immediate | undefined
  const wait = (part: number): void => {
    timer = setTimeout(() => {
      check = setImmediate(() => (part === PARTS ? expire() : wait(part + 1)))
    }, ms / PARTS)
  }
  wait(1)
  return {
    clear: () => {
      clearTimeout(timer)
      clearImmediate(check)
    }
  }
}
