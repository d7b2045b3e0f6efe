/**
 * A log that never blocks and whose volume is bounded: lines past the rate are counted, not
 * written, successes first; bytes past what may wait for a slow reader are dropped.
 */
import pino from "pino"
import {EVENTS, type EventLevel, type EventName} from "../events.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"

/** Lines a second, and at once after a quiet time. */
const LINES_PER_SECOND = 400
const BURST_LINES = 1_000

/** Of the burst, what is kept for warnings and errors. */
const RESERVED_LINES = 200

/** Bytes that may wait for a reader. */
const MAX_WAITING_BYTES = 2 << 20
const FLUSH_MS = 200

export interface BoundedLog {
  readonly log: Log
  /** Sets the least level that is written. */
  readonly setLevel: (level: EventLevel) => void
  /** Writes out what waits; for the end of the process. */
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
    maxLength: MAX_WAITING_BYTES,
    periodicFlush: FLUSH_MS
  })
  const logger = pino({name, level, base: {name, ...base}}, destination)
  const limit = createLineLimit(now)
  const write = (event: EventName, fields: Readonly<Record<string, unknown>>): void => {
    const {number, level: severity, text} = EVENTS[event]
    logger[severity]({event: number, ...fields}, text)
  }
  const log: Log = (event, fields = {}) => {
    const severity = EVENTS[event].level
    if (!limit.takes(severity === "warn" || severity === "error")) return
    const left = limit.takeLeftOut()
    if (left > 0) write("log-limited", {lines: left})
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
  readonly takes: (urgent: boolean) => boolean
  /** Lines left out since this was last asked, once one may be written again. */
  readonly takeLeftOut: () => number
}

/** The limit of lines a second; the last of the burst is kept for urgent ones. */
export function createLineLimit(now: () => number): LineLimit {
  let room = BURST_LINES
  let countedAt = now()
  let leftOut = 0
  return {
    takes(urgent) {
      const at = now()
      room = Math.min(BURST_LINES, room + ((at - countedAt) / 1000) * LINES_PER_SECOND)
      countedAt = at
      if (room < (urgent ? 1 : RESERVED_LINES)) {
        leftOut++
        return false
      }
      room--
      return true
    },
    takeLeftOut() {
      const left = leftOut
      leftOut = 0
      return left
    }
  }
}
