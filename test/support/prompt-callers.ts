/** Callers whose requests share parts of their prompts, no two of them alike. */
import type {PromptCall} from "./judge-crashing-parts.js"
import type {BedBox, Outcome, PlatformBed} from "./platform-bed.js"

/** Parts that open prompts, and parts between the first and the last, in hex. */
export const FIRST_PART = "f1a50000"
const SHARED_PARTS = ["ab010000", "ab020000", "ab030000"] as const
const TOPIC_PARTS = ["cd010000", "cd020000"] as const

/** Interval between sound requests of one kind, and between those with a guilty part. */
const SOUND_INTERVAL_MS = 40
const GUILTY_INTERVAL_MS = 150

/** A kind of requests. */
export interface PromptKind {
  readonly path: string
  readonly adapter?: string
  readonly key?: string
  readonly body?: (name: string) => string
}

/** A prompt of which the last part belongs to one request. */
export interface Prompt {
  readonly parts: readonly string[]
  readonly own: string
  /** The header that lists all its parts. */
  readonly header: string
}

export interface AnsweredCall extends PromptCall {
  readonly box: string
  readonly outcome: Outcome
  readonly answeredAt: number
}

export class PromptCallers {
  readonly calls: AnsweredCall[] = []
  private readonly pending_: Promise<void>[] = []
  private readonly timers_ = new Set<NodeJS.Timeout>()
  private next_ = 0

  constructor(private readonly bed_: PlatformBed) {}

  /** Sends sound requests of a kind to all boxes in turn until `stop`. */
  sendSound(kind: PromptKind): void {
    this.repeat(() => this.sendOne(kind), SOUND_INTERVAL_MS)
  }

  /**
   * Sends requests with the part to all boxes in turn. Their other parts are those of
   * sound ones. Returns a function that ends this.
   */
  sendGuilty(part: string, kind: PromptKind): () => void {
    return this.repeat(() => this.sendOne(kind, part), GUILTY_INTERVAL_MS)
  }

  /** Stops all callers. Resolves when all their requests have been answered. */
  async stop(): Promise<void> {
    for (const timer of this.timers_) clearInterval(timer)
    await Promise.all(this.pending_)
  }

  private repeat(send: () => void, intervalMs: number): () => void {
    const timer = setInterval(send, intervalMs)
    this.timers_.add(timer)
    return () => clearInterval(timer)
  }

  private sendOne(kind: PromptKind, guilty?: string): void {
    const number = this.next_++
    this.pending_.push(this.send(kind, promptOf(number, guilty), number))
  }

  private async send(
    {path, adapter, key, body = name => JSON.stringify({name})}: PromptKind,
    {parts, own, header}: Prompt,
    number: number
  ): Promise<void> {
    const {boxes} = this.bed_
    const box = boxes[number % boxes.length] as BedBox
    const sentAt = performance.now()
    const outcome = await this.bed_.call(box, `${path}${number}`, {
      body: body(own),
      headers: {"x-prompt-prefix": header},
      ...(adapter === undefined ? {} : {adapter}),
      ...(key === undefined ? {} : {key})
    })
    this.calls.push({
      id: outcome.id,
      box: box.name,
      route: path,
      parts,
      sentAt,
      answeredAt: performance.now(),
      hasBegun: outcome.status === 200,
      outcome
    })
  }
}

/** Returns the prompt of the request with this number, with a guilty part if named. */
export function promptOf(number: number, guilty?: string): Prompt {
  const second = guilty ?? (SHARED_PARTS[number % SHARED_PARTS.length] as string)
  const topic = TOPIC_PARTS[number % TOPIC_PARTS.length] as string
  const parts = [FIRST_PART, second, topic]
  const own = `e${number.toString(16).padStart(7, "0")}`
  return {parts, own, header: [...parts.map(part => `${part}:200`), `${own}:40`].join()}
}
