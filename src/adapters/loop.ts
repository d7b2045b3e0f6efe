/** The one loop of a process: events in, one transition at a time, effects out. */
import {type Scheduler, type Sink, type Source, Stream} from "most"
import {clockNow} from "./clock.js"

export interface LoopOptions<State, Event, Effect> {
  readonly initial: State
  readonly step: (
    state: State,
    event: Event,
    now: number
  ) => {readonly state: State; readonly effects: readonly Effect[]}
  readonly perform: (effect: Effect) => void
  readonly makeTick: () => Event
  /** When the next tick is due after the last; asked again after each event. */
  readonly tickMs: (state: State) => number
  readonly now: () => number
}

export interface Loop<State, Event> {
  /** Takes an event at once, or after the one that is being taken. */
  readonly post: (event: Event) => void
  readonly state: () => State
  /** Rejects when a transition or effect throws: the process should end. */
  readonly ended: Promise<void>
}

/** Runs the loop until the process ends. */
export function startLoop<State, Event, Effect>(
  options: LoopOptions<State, Event, Effect>
): Loop<State, Event> {
  const posts = new PostSource<Event>()
  const ticker = new Ticker(() => posts.post(options.makeTick()))
  let state = options.initial
  const ended = new Stream(posts)
    .map(event => options.step(state, event, options.now()))
    .tap(step => {
      state = step.state
      for (const effect of step.effects) options.perform(effect)
      ticker.due(options.tickMs(state))
    })
    .drain()
  ticker.due(options.tickMs(state))
  return {post: posts.post, state: () => state, ended: ended.then(() => undefined)}
}

/**
 * A stream of posted events. `fromEvent` would hand them on a turn later; here a decision and
 * its effects belong to the turn in which the event came, which the lease check relies on.
 */
class PostSource<Event> implements Source<Event> {
  private readonly queue_: Event[] = []
  private sink_: Sink<Event> | undefined
  private scheduler_: Scheduler | undefined
  private busy_ = false

  run(sink: Sink<Event>, scheduler: Scheduler) {
    this.sink_ = sink
    this.scheduler_ = scheduler
    this.drain()
    return {dispose: () => undefined}
  }

  readonly post = (event: Event): void => {
    this.queue_.push(event)
    this.drain()
  }

  private drain(): void {
    if (this.busy_ || !this.sink_) return
    this.busy_ = true
    try {
      for (
        let next = this.queue_.shift();
        next !== undefined;
        next = this.queue_.shift()
      ) {
        this.emit(next)
      }
    } finally {
      this.busy_ = false
    }
  }

  private emit(event: Event): void {
    const now = this.scheduler_?.now() ?? 0
    try {
      this.sink_?.event(now, event)
    } catch (cause) {
      this.sink_?.error(now, cause as Error)
    }
  }
}

/** One timer that is set anew only where a tick has become due earlier: wake-ups cost. */
class Ticker {
  private lastAt_ = clockNow()
  private dueAt_ = Infinity
  private timer_: NodeJS.Timeout | undefined

  constructor(private readonly tick_: () => void) {}

  /** The next tick comes so long after the last one, or as was said before if that is earlier. */
  due(afterMs: number): void {
    const at = this.lastAt_ + afterMs
    if (at >= this.dueAt_) return
    this.dueAt_ = at
    clearTimeout(this.timer_)
    this.timer_ = setTimeout(() => this.run(), Math.max(1, at - clockNow()))
  }

  private run(): void {
    this.lastAt_ = clockNow()
    this.dueAt_ = Infinity
    this.tick_()
  }
}
