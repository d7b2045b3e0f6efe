/** Links of a leader to its boxes under simulated time: one line out, and a way to each box. */

export interface LinkOptions {
  /** What the leader's line carries, bytes a millisecond. */
  readonly bytesPerMs: number
  /** One way, milliseconds. */
  readonly delayMs: number
  /** Share of messages that have to be sent again. */
  readonly loss: number
  /** Numbers in [0, 1). */
  readonly draw: () => number
}

/** After a loss the bytes are sent again so much later, milliseconds. */
const RESEND_MS = 200

interface Cut {
  readonly from: number
  readonly until: number
}

/** Says when each message arrives. A link keeps its order: what is sent again holds up the rest. */
export class Links {
  private lineFreeAt_ = 0
  private readonly arrivedAt_ = new Map<number, number>()
  private readonly cuts_ = new Map<number, Cut>()

  constructor(private readonly options_: LinkOptions) {}

  /** Nothing reaches the box meanwhile. */
  cut(box: number, from: number, until: number): void {
    this.cuts_.set(box, {from, until})
  }

  /** When so many bytes that are sent now arrive at a box. */
  send(box: number, bytes: number, now: number): number {
    const {bytesPerMs, delayMs, loss, draw} = this.options_
    this.lineFreeAt_ = Math.max(this.lineFreeAt_, now) + bytes / bytesPerMs
    const resent = draw() < loss ? RESEND_MS : 0
    const alone = this.lineFreeAt_ + delayMs + resent
    const cut = this.cuts_.get(box)
    const open = cut && alone >= cut.from && alone < cut.until ? cut.until : alone
    const at = Math.max(open, this.arrivedAt_.get(box) ?? 0)
    this.arrivedAt_.set(box, at)
    return at
  }
}
