/**
 * Renews the lease of a leader through the boxes that follow it. The key-value service
 * may reject only the leader's calls, or be unreachable only from the leader. If the
 * leadership ended then, weights that are not loaded would stay unavailable until the
 * next leader may order loads, five seconds where engines check no fences: callers whose
 * adapters no engine holds are refused for that long.
 */
import {KvUnavailable} from "../errors.js"
import {startAnswerTimer} from "../utils/timers.js"

/** Boxes that are asked at the same time, as the service may reject some of them, too. */
const BOXES_PER_RENEWAL = 3

/** An answer later than this comes too late to keep the lease. */
const ANSWER_TIMEOUT_MS = 400

export class LeaseHelp {
  private lastRequest_ = 0
  private readonly waiting_ = new Map<number, (known: boolean) => void>()

  constructor(
    private readonly drawBoxes_: (count: number) => readonly string[],
    private readonly send_: (box: string, ask: number, lease: string) => void
  ) {}

  /**
   * Returns whether the service still knew the lease when a box renewed it. Rejects if
   * none could.
   */
  renew(lease: string): Promise<boolean> {
    const request = ++this.lastRequest_
    const boxes = this.drawBoxes_(BOXES_PER_RENEWAL)
    return new Promise((resolve, reject) => {
      const timer = startAnswerTimer(ANSWER_TIMEOUT_MS, () => {
        this.waiting_.delete(request)
        reject(new KvUnavailable("no box could renew the lease"))
      })
      this.waiting_.set(request, known => {
        timer.clear()
        this.waiting_.delete(request)
        resolve(known)
      })
      for (const box of boxes) this.send_(box, request, lease)
    })
  }

  /** Handles the answer of a box; the first answer counts. */
  handleAnswer(ask: number, known: boolean): void {
    this.waiting_.get(ask)?.(known)
  }
}
