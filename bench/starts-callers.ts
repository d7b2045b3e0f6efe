/** Callers of `npm run bench -- starts`, which reach all boxes at a fixed rate. */
import type {ProcessStore} from "../test/stand-ins/process-store.js"
import type {PlatformBed} from "../test/support/platform-bed.js"

export interface Load {
  readonly callsPerS: number
  /** Organisations that call with a key. 0 if calls have none. */
  readonly organisations: number
  readonly deadlineMs: number
}

/** The calls that were sent in one second, and what became of them. */
export interface Second {
  sent: number
  served: number
  /** By status, or by the error of a call without one. */
  readonly outcomes: Record<string, number>
}

export class Callers {
  seconds: Second[] = []
  private startedAt_ = performance.now()
  private calls_ = 0
  private readonly open_ = new Set<Promise<void>>()
  private readonly timer_: NodeJS.Timeout

  constructor(
    private readonly bed_: PlatformBed<ProcessStore>,
    private readonly load_: Load
  ) {
    const {callsPerS} = load_
    const beganAt = performance.now()
    // A late timer makes up for the calls that it missed.
    this.timer_ = setInterval(() => {
      const due = ((performance.now() - beganAt) * callsPerS) / 1000
      while (this.calls_ < due) this.send()
    }, 1000 / callsPerS)
  }

  /** Counts seconds from now on. */
  restartClock(): void {
    this.startedAt_ = performance.now()
    this.seconds = []
  }

  async stop(): Promise<void> {
    clearInterval(this.timer_)
    await Promise.all(this.open_)
  }

  private send(): void {
    const number = this.calls_++
    const index = Math.floor((performance.now() - this.startedAt_) / 1000)
    while (this.seconds.length <= index)
      this.seconds.push({sent: 0, served: 0, outcomes: {}})
    const second = this.seconds[index]
    const {boxes} = this.bed_
    const box = boxes[Math.floor(Math.random() * boxes.length)]
    if (!second || !box) return
    second.sent++
    const {organisations, deadlineMs} = this.load_
    const isStream = number % 3 === 0
    const call = this.bed_
      .call(box, isStream ? "/stream/x" : "/safe/x", {
        deadlineMs,
        ...(isStream ? {adapter: `a${1 + (number % 2)}`} : {}),
        ...(organisations > 0 ? {key: `key-${number % organisations}`} : {})
      })
      .then(({status, broken, error}) => {
        const outcome = broken ? (error ?? "broken") : String(status)
        second.outcomes[outcome] = (second.outcomes[outcome] ?? 0) + 1
        if (outcome === "200") second.served++
      })
    this.open_.add(call)
    void call.finally(() => this.open_.delete(call))
  }
}
