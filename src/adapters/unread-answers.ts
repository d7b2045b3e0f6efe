/**
 * Accounts for the bytes of answers that callers have not read yet, per answer and for
 * the whole box. Cuts answers whose callers do not read while the box is beyond its bound.
 */
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"

const KB = 1_024

/** Bytes that a box may buffer for one answer. */
export const ANSWER_BOUND_BYTES = 256 * KB

/**
 * Unread bytes of an answer beyond which its server is not read. The rest of the bound is
 * for the chunk that is being written, at most 80 KB, and for what the connection to the
 * server still reads once, at most 64 KB.
 */
export const HOLD_BYTES = 96 * KB

/** Bytes that a box may buffer for all answers, without the setting `limits`. */
export const DEFAULT_BOX_BOUND_BYTES = 16 * KB * KB

/** The bound of a box is this part of its memory, with the setting `limits`. */
const MEMORY_PART = 16

/** Beyond the bound of the box, a caller that reads nothing for this long may be cut. */
export const UNREAD_PATIENCE_MS = 5_000

const SAMPLE_INTERVAL_MS = 250

/**
 * Time that one sample counts at most. After a pause of the process, callers may have read
 * what it has not noticed yet.
 */
export const MAX_SAMPLE_MS = 2 * SAMPLE_INTERVAL_MS

/** An answer that may have unread bytes. */
export interface UnreadAnswer {
  /** Name of the request, for logs. */
  readonly name: string
  /** Bytes of the answer that the box holds, with those that it has read ahead. */
  readonly bytes: number
  /** Bytes that were written to the caller's connection and that it has not accepted. */
  readonly waitingBytes: number
  /**
   * Grows with each byte that the caller's connection accepts, in bytes. Its absolute
   * value has no meaning.
   */
  readonly acceptedBytes: number
  /** Whether the box has stopped reading the answer from its server. */
  readonly isHeldUp: boolean
  /** Reports that the box itself has stopped reading, so that the server isn't silent. */
  readonly reportHeldUp: () => void
  /** Closes the caller's connection, so that the answer doesn't look complete. */
  readonly cut: () => void
}

interface Entry {
  bytes: number
  acceptedBytes: number
  /** For how long the caller has read nothing of the bytes that wait for it. */
  idleMs: number
}

/** Returns the bound of a box in bytes. `memoryMb` is in units of 1,048,576 bytes. */
export function boxBoundBytes(memoryMb: number | undefined): number {
  if (memoryMb === undefined) return DEFAULT_BOX_BOUND_BYTES
  return Math.floor((memoryMb * KB * KB) / MEMORY_PART)
}

export interface UnreadAnswersOptions {
  readonly boundBytes: number
  readonly log: Log
}

export class UnreadAnswers {
  private readonly entries_ = new Map<UnreadAnswer, Entry>()
  private totalBytes_ = 0
  /** Bytes of answers that are sent once they are complete, and the number of these. */
  private collectedBytes_ = 0
  private collecting_ = 0
  private timer_: NodeJS.Timeout | undefined
  private sampledAt_ = 0
  /** Answers whose servers were held up, since the start of the process. */
  heldCount = 0
  /** Answers that were cut, since the start of the process. */
  cutCount = 0

  constructor(private readonly options_: UnreadAnswersOptions) {}

  get totalBytes(): number {
    return this.totalBytes_
  }

  /** Answers whose servers are held up now. */
  get heldUp(): number {
    let count = 0
    for (const answer of this.entries_.keys()) if (answer.isHeldUp) count++
    return count
  }

  /** Whether the box holds more unread bytes than it may. */
  get isBeyondBound(): boolean {
    return this.totalBytes_ > this.options_.boundBytes
  }

  /** Counts the bytes of an answer that are held until it is complete. */
  countCollected(before: number, after: number): void {
    this.collectedBytes_ += after - before
    this.collecting_ += Number(after > 0) - Number(before > 0)
  }

  /**
   * Whether an answer of which this much is held is given up: all held ones together are
   * beyond the bound of the box, and this one is not smaller than their mean.
   */
  exceedsCollected(bytes: number): boolean {
    if (this.collectedBytes_ <= this.options_.boundBytes) return false
    return bytes * this.collecting_ >= this.collectedBytes_
  }

  /** Whether the unread bytes of an answer are counted. */
  tracks(answer: UnreadAnswer): boolean {
    return this.entries_.has(answer)
  }

  /** Counts the unread bytes of an answer anew, after some were written or accepted. */
  update(answer: UnreadAnswer): void {
    const {bytes} = answer
    const entry = this.entries_.get(answer)
    if (!entry) {
      if (bytes > 0) this.add(answer, bytes)
      return
    }
    this.totalBytes_ += bytes - entry.bytes
    entry.bytes = bytes
  }

  /** Removes an answer whose connection has closed or that was sent to its end. */
  remove(answer: UnreadAnswer): void {
    const entry = this.entries_.get(answer)
    if (!entry) return
    this.entries_.delete(answer)
    this.totalBytes_ -= entry.bytes
    if (this.entries_.size > 0) return
    clearInterval(this.timer_)
    this.timer_ = undefined
  }

  /**
   * Measures what callers have read in `elapsedMs`. Beyond the bound of the box, cuts
   * answers of those that do not read.
   */
  sample(elapsedMs: number): void {
    for (const [answer, entry] of this.entries_) {
      this.sampleAnswer(answer, entry, Math.min(elapsedMs, MAX_SAMPLE_MS))
    }
    if (this.isBeyondBound) this.cutLargest()
  }

  private sampleAnswer(answer: UnreadAnswer, entry: Entry, elapsedMs: number): void {
    this.update(answer)
    entry.idleMs = recordRead(answer, entry) ? 0 : entry.idleMs + elapsedMs
    if (answer.isHeldUp) answer.reportHeldUp()
    else if (entry.bytes === 0) this.remove(answer)
  }

  private cutLargest(): void {
    const idle = [...this.entries_]
      .filter(([, {idleMs}]) => idleMs >= UNREAD_PATIENCE_MS)
      .sort(([, a], [, b]) => b.bytes - a.bytes)
    for (const [answer, entry] of idle) {
      if (!this.isBeyondBound) return
      this.cut(answer, entry)
    }
  }

  private cut(answer: UnreadAnswer, {bytes, idleMs}: Entry): void {
    this.cutCount++
    this.options_.log("unread-cut", {
      request: answer.name,
      bytes,
      idleMs: Math.round(idleMs),
      boxBytes: this.totalBytes_
    })
    this.remove(answer)
    answer.cut()
  }

  private add(answer: UnreadAnswer, bytes: number): void {
    const {acceptedBytes} = answer
    this.entries_.set(answer, {bytes, acceptedBytes, idleMs: 0})
    this.totalBytes_ += bytes
    if (this.timer_) return
    this.sampledAt_ = clockNow()
    this.timer_ = setInterval(() => this.runSample(), SAMPLE_INTERVAL_MS)
    this.timer_.unref()
  }

  private runSample(): void {
    const now = clockNow()
    const elapsedMs = now - this.sampledAt_
    this.sampledAt_ = now
    this.sample(elapsedMs)
  }
}

/** Returns whether the caller has read since the last call, and records what it has. */
function recordRead(answer: UnreadAnswer, entry: Entry): boolean {
  const {acceptedBytes} = answer
  const hasRead = acceptedBytes > entry.acceptedBytes || answer.waitingBytes === 0
  entry.acceptedBytes = acceptedBytes
  return hasRead
}
