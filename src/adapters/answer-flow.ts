/**
 * The way of one answer from its server to its caller: stops reading from the server while
 * the caller has too much left to read.
 */
import type {ServerResponse} from "node:http"
import type {Socket} from "node:net"
import {acceptedBytes} from "./accepted-bytes.js"
import type {ReadControl} from "./backend-pools.js"
import {HOLD_BYTES, type UnreadAnswer, type UnreadAnswers} from "./unread-answers.js"

export class AnswerFlow implements UnreadAnswer {
  /** Reading of the attempt that is held up. Undefined if none is. */
  private held_: ReadControl | undefined
  private heldUp_: () => void = () => undefined
  /**
   * Whether the attempt was held up at all. Most holds are shorter than the interval of the
   * reports, and the pace of a stream that was held up says nothing about its server.
   */
  private wasHeldUp_ = false
  /** Bytes that are held but not written yet: whole answers, and part of an event. */
  private collectedBytes_ = 0

  constructor(
    readonly name: string,
    private readonly unread_: UnreadAnswers,
    private readonly res_: ServerResponse,
    private readonly socket_: Socket
  ) {
    res_.on("drain", () => this.release())
    res_.on("close", () => this.close())
  }

  get bytes(): number {
    const readAheadBytes = this.held_?.readAheadBytes() ?? 0
    return this.collectedBytes_ + this.waitingBytes + readAheadBytes
  }

  get waitingBytes(): number {
    return this.res_.writableLength
  }

  get acceptedBytes(): number {
    return acceptedBytes(this.socket_)
  }

  get isHeldUp(): boolean {
    return this.held_ !== undefined
  }

  /**
   * Starts with the answer of an attempt. `heldUp` is called when the box first stops
   * reading it, and at intervals while it has. The answer of the attempt before is not held
   * up any more.
   */
  start(heldUp: () => void): void {
    this.heldUp_ = heldUp
    this.wasHeldUp_ = false
    this.held_ = undefined
  }

  /** Sets the number of bytes that are held but not written yet. */
  setCollected(bytes: number): void {
    this.unread_.countCollected(this.collectedBytes_, bytes)
    this.collectedBytes_ = bytes
    this.unread_.update(this)
  }

  /** Whether too many bytes are held for an answer to be sent once it is complete. */
  get exceedsCollected(): boolean {
    return this.unread_.exceedsCollected(this.collectedBytes_)
  }

  /**
   * Handles a write to the caller; stops reading if it has too much left to read.
   * `accepted` is the result of the write: if it is false, `drain` follows.
   */
  handleWrite(accepted: boolean, reading: ReadControl): void {
    // Most writes leave some bytes for the current turn of the event loop. Counting each
    // answer for these would keep the sampling timer of the box running all the time.
    if (accepted && !this.unread_.tracks(this)) return
    this.unread_.update(this)
    if (accepted || this.held_) return
    if (this.bytes <= HOLD_BYTES && !this.unread_.isBeyondBound) return
    this.held_ = reading
    this.unread_.heldCount++
    reading.pause()
    if (this.wasHeldUp_) return
    this.wasHeldUp_ = true
    this.heldUp_()
  }

  /** Reads on, after the caller's connection has accepted all bytes. */
  release(): void {
    const held = this.held_
    this.held_ = undefined
    this.unread_.update(this)
    held?.resume()
  }

  readonly reportHeldUp = (): void => this.heldUp_()

  /**
   * Resets the caller's connection. A close in order would leave what the caller does not
   * read in the memory of the system.
   */
  readonly cut = (): void => {
    this.socket_.resetAndDestroy()
  }

  private close(): void {
    this.start(() => undefined)
    this.setCollected(0)
    this.unread_.remove(this)
  }
}
