/**
 * Logs and counts how answers too many are dealt with: a faulty server may send an answer
 * again where the next one on the connection is due.
 */
import type {Log} from "./log.js"

/** An answer in the place of that to another request. */
export interface MismatchedAnswer {
  /** Id of the request that waits. */
  readonly request: string
  readonly backend: string
  /** Id of the request that was answered. Undefined if the answer names none. */
  readonly answered: string | undefined
  /** Time since the request was sent. */
  readonly sentMs: number
}

export class SurplusAnswers {
  mismatchedCount = 0
  passedOverCount = 0

  constructor(private readonly log_: Log) {}

  logMismatch({request, backend, answered = "", sentMs}: MismatchedAnswer): void {
    this.mismatchedCount++
    const ms = Math.round(sentMs)
    this.log_("answer-mismatched", {request, backend, answered, sentMs: ms})
  }

  logPassedOver(request: string, backend: string): void {
    this.passedOverCount++
    this.log_("connection-passed-over", {request, backend})
  }
}
