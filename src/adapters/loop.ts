/** The event loop of a process: applies one event at a time and performs its effects. */
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
  /** Returns the time from the last tick to the next; called again after each event. */
  readonly tickMs: (state: State) => number
  readonly now: () => number
}

export interface Loop<State, Event> {
  /** Handles an event at once, or after the events that are already queued. */
  readonly post: (event: Event) => void
  /** Handles an event at once, or before the events that are already queued. */
  readonly postFirst: (event: Event) => void
  readonly state: () => State
  /** Rejects when a transition or effect throws; the process should end then. */
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
      ticker.schedule(options.tickMs(state))
    })
    .drain()
  ticker.schedule(options.tickMs(state))
  return {
    post: posts.post,
    postFirst: posts.postFirst,
    state: () => state,
    ended: ended.then(() => undefined)
  }
}

/**
 * A stream of posted events. `fromEvent` would deliver them one turn of the event loop
 * later. The lease check relies on a decision and its effects running in the turn in
 * which the event was posted.
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

  readonly postFirst = (event: Event): void => {
    this.queue_.unshift(event)
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

/**
 * Timer for the next tick. It is reset only if a tick becomes due earlier, as wake-ups
 * are expensive.
 */
class Ticker {
  private lastAt_ = clockNow()
  private dueAt_ = Infinity
  private timer_: NodeJS.Timeout | undefined

  constructor(private readonly tick_: () => void) {}

  /**
   * Schedules the next tick `afterMs` after the last one, unless an earlier one is
   * scheduled.
   */
  schedule(afterMs: number): void {
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
