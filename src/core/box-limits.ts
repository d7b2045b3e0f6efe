/** Decides whether a box is over the memory or the descriptors that it may use. */

/** What the platform allows a box. */
export interface BoxLimits {
  /** Memory, in units of 1,048,576 bytes. */
  readonly memoryMb: number
  /** File descriptors. */
  readonly maxFds: number
}

export interface BoxUse {
  /** Resident memory of the process, in bytes. */
  readonly memoryBytes: number
  readonly openSockets: number
}

/** What a box is over, or "none". */
export type BoxShortage = "none" | "memory" | "descriptors"

/** Share of a limit beyond which a box is over it. */
const OVER_SHARE = 0.9

/** Share of a limit below which a box is no longer over it. */
const BELOW_SHARE = 0.8

/** Descriptors that are no sockets: files, timers and pipes of the process. */
export const RESERVED_FDS = 200

const MB_BYTES = 1_048_576

/**
 * Returns what the box is over. `before` is the last result: a box that is over one of its
 * limits stays so until it is below the lower share of both.
 */
export function findShortage(
  before: BoxShortage,
  {memoryBytes, openSockets}: BoxUse,
  {memoryMb, maxFds}: BoxLimits
): BoxShortage {
  const memory = memoryBytes / (memoryMb * MB_BYTES)
  const sockets = openSockets / (maxFds - RESERVED_FDS)
  const share = before === "none" ? OVER_SHARE : BELOW_SHARE
  const isOverMemory = before === "none" ? memory > share : memory >= share
  const isOverSockets = before === "none" ? sockets > share : sockets >= share
  if (isOverMemory) return "memory"
  return isOverSockets ? "descriptors" : "none"
}
