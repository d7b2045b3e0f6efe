/** The queue of a stand-in worker: requests that were accepted and have not begun. */
import type {ServerResponse} from "node:http"

export interface Waiting {
  readonly adapter: string
  readonly res: ServerResponse
  /** When it begins, milliseconds from now. */
  readonly waitMs: number
  /** How long its sender waits for it, milliseconds from now. */
  readonly deadlineMs: number
  /** It stays in the queue though its connection closes. */
  readonly keepsClosed: boolean
  readonly begin: () => void
  /** It has not run, and is told so. */
  readonly refuse: () => void
}

export class WorkerQueue {
  /** Each with what takes it out of the queue. */
  private readonly waiting_ = new Map<Waiting, () => void>()

  get size(): number {
    return this.waiting_.size
  }

  add(waiting: Waiting): void {
    const {res, waitMs, deadlineMs, keepsClosed} = waiting
    const inTime = waitMs <= deadlineMs
    const timer = setTimeout(
      () => {
        this.leave(waiting)
        if (inTime) waiting.begin()
        else waiting.refuse()
      },
      Math.min(waitMs, deadlineMs)
    )
    const closed = (): void => {
      if (!keepsClosed) this.leave(waiting)
    }
    this.waiting_.set(waiting, () => {
      clearTimeout(timer)
      res.off("close", closed)
    })
    res.on("close", closed)
  }

  /** An order concerns this adapter: what waits for it does not run here. */
  turnAway(adapter: string): void {
    for (const waiting of [...this.waiting_.keys()]) {
      if (waiting.adapter !== adapter) continue
      this.leave(waiting)
      waiting.refuse()
    }
  }

  /** The worker's life ends: what waits is lost without a word. */
  clear(): void {
    for (const waiting of [...this.waiting_.keys()]) this.leave(waiting)
  }

  private leave(waiting: Waiting): void {
    this.waiting_.get(waiting)?.()
    this.waiting_.delete(waiting)
  }
}
