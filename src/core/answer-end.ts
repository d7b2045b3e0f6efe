/** How the bytes of a backend server's answer ended. */

/** What marks the end of an answer: a length, chunks, or the end of its connection. */
export type AnswerFraming = "length" | "chunks" | "connection"

export interface AnswerEnd {
  /** Undefined if the head of the answer did not arrive. */
  readonly framing: AnswerFraming | undefined
  /** Bytes after the last complete event of a stream. */
  readonly partialBytes: number
  /** Longest time between events of a stream (ms). A stream that pauses is late, too. */
  readonly gapMs: number
  /** Error code of the connection. Empty if it reported no error. */
  readonly cause: string
}

/** Fields of log lines about the end of an answer. */
export function toLogFields(end: AnswerEnd | undefined): {
  framing: string
  partialBytes: number
  gapMs: number
  cause: string
} {
  return {
    framing: end?.framing ?? "",
    partialBytes: end?.partialBytes ?? 0,
    gapMs: Math.round(end?.gapMs ?? 0),
    cause: end?.cause ?? ""
  }
}
