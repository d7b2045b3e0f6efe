/**
 * A log that never blocks and whose volume is bounded. Lines over the rate limit are
 * counted but not written. Warnings and errors have a reserve. Lines over the buffer limit
 * for a slow reader are dropped and counted, too.
 */
import pino from "pino"
import {EVENTS, type EventLevel, type EventName} from "../events.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"

const LINES_PER_SECOND = 400
const BURST_LINES = 1_000

/** Part of the burst reserved for warnings and errors. */
const RESERVED_LINES = 200

/** Limits the buffer for a slow reader. */
const MAX_BUFFERED_BYTES = 2 << 20
const FLUSH_INTERVAL_MS = 200

export interface BoundedLog {
  readonly log: Log
  /** Sets the lowest level that is written. */
  readonly setLevel: (level: EventLevel) => void
  /** Writes buffered lines. Called at the end of the process. */
  readonly flush: () => void
}

/** A bounded log to standard output. */
export function createBoundedLog(
  name: string,
  level: EventLevel,
  base: object,
  now: () => number = clockNow
): BoundedLog {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS
  })
  const logger = pino({name, level, base: {name, ...base}}, destination)
  const limit = createLineLimit(now)
  /** Lines that the destination has dropped since it was last logged. */
  let dropped = 0
  destination.on("drop", () => dropped++)
  const write = (event: EventName, fields: Readonly<Record<string, unknown>>): void => {
    const {number, level: severity, text} = EVENTS[event]
    logger[severity]({event: number, ...fields}, text)
  }
  const log: Log = (event, fields = {}) => {
    const severity = EVENTS[event].level
    if (!limit.tryTake(severity === "warn" || severity === "error")) return
    const omitted = limit.drainOmitted() + dropped
    if (omitted > 0) {
      dropped = 0
      write("log-limited", {lines: omitted})
      // The line that tells the number may be dropped, too.
      if (dropped > 0) dropped = omitted
    }
    write(event, fields)
  }
  return {
    log,
    setLevel: next => {
      logger.level = next
    },
    flush: () => destination.flushSync()
  }
}

export interface LineLimit {
  /** Whether a line may be written now. */
  readonly tryTake: (urgent: boolean) => boolean
  /** Returns and resets the number of omitted lines. */
  readonly drainOmitted: () => number
}

/** Creates a token bucket of log lines with a reserve for urgent ones. */
export function createLineLimit(now: () => number): LineLimit {
  let available = BURST_LINES
  let refilledAt = now()
  let omittedLines = 0
  return {
    tryTake(urgent) {
      const at = now()
      available = Math.min(
        BURST_LINES,
        available + ((at - refilledAt) / 1000) * LINES_PER_SECOND
      )
      refilledAt = at
      if (available < (urgent ? 1 : RESERVED_LINES)) {
        omittedLines++
        return false
      }
      available--
      return true
    },
    drainOmitted() {
      const omitted = omittedLines
      omittedLines = 0
      return omitted
    }
  }
}
