/** A caller's request at an entry: its body, its answer and the current attempt. */
import type {ServerResponse} from "node:http"
import type {Dispatcher} from "undici"
import type {Arrival} from "../core/entry-state.js"
import {type ErrorCode, retryAfterHeader, SedgeError, toProblem} from "../errors.js"

/** How to forward the backend server's answer. */
export type AnswerMode = "stream" | "whole" | "service"

export interface Exchange {
  readonly arrival: Arrival
  readonly mode: AnswerMode
  readonly method: string
  /** Path at the backend server. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly res: ServerResponse
  readonly receivedAt: number
  /** Controller of the attempt. Aborting it destroys the connection. */
  controller?: Dispatcher.DispatchController
  /** Whether any byte of an answer was sent to the caller. */
  replied: boolean
  /** Whether the current attempt or resume received events, or only timed out as idle. */
  progressed: boolean
  /** Id of the last complete event sent to the caller. */
  lastEventId: string
  /** When the last event of a stream was sent to the caller. */
  lastEventAt: number
  timedOut: boolean
}

/** Answers with an error as a problem document. */
export function sendProblem(res: ServerResponse, error: SedgeError): void {
  if (res.headersSent || res.destroyed) return
  const problem = toProblem(error)
  const body = JSON.stringify(problem)
  res.writeHead(problem.status, {
    "content-type": "application/problem+json",
    "content-length": Buffer.byteLength(body),
    ...retryAfterHeader(error)
  })
  res.end(body)
}

/** Ends an interrupted stream with an error event, so that it doesn't look complete. */
export function sendStreamError(res: ServerResponse, code: ErrorCode): void {
  const problem = toProblem(new SedgeError(code))
  res.write(`event: error\ndata: ${JSON.stringify({error: problem})}\n\n`, () =>
    res.destroy()
  )
}
