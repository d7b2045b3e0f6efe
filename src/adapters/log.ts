/** Structured logs by pino. Each line is a numbered event of `EVENTS`. */
import {pino} from "pino"
import {EVENTS, type EventLevel, type EventName} from "../events.js"

export type Log = (event: EventName, fields?: Readonly<Record<string, unknown>>) => void

/** Creates a log to standard output. */
export function createLog(name: string, level: EventLevel, base: object): Log {
  const logger = pino({name, level, base: {name, ...base}})
  return (event, fields = {}) => {
    const {number, level: severity, text} = EVENTS[event]
    logger[severity]({event: number, ...fields}, text)
  }
}
