/**
 * Workers answer some calls, many at once, with heads, trailers, informational answers and
 * other bytes without end, in a round of the soak. Drawn from a random series of their own,
 * so that the other faults of a seed stay the same.
 */
import type {BedBox, PlatformBed} from "./platform-bed.js"
import {ENDLESS_KINDS, type EndlessKind} from "./endless-server.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one fault to the next one. */
const GAP_MS = {least: 1_500, most: 4_000}

/** Calls that are answered without end at once, and the time in which they are sent. */
const CALLS = {least: 8, most: 36}
const SPREAD_MS = {least: 0, most: 400}

/** Share of the faults whose calls go to one box. */
const ONE_BOX_SHARE = 0.7

/** Time that their callers allow. */
export const ENDLESS_DEADLINE_MS = 3_000

/** Those that cost a reader the most are drawn more often. */
const KINDS: readonly EndlessKind[] = [
  ...(["head", "trailer", "informational"] as const).flatMap(kind => [kind, kind, kind]),
  ...ENDLESS_KINDS
]

/** Ends the paths of these calls, and no others. */
const MARK = "/endless"
const PATHS = ["/safe", "/unsafe", "/stream", "/once"] as const

interface Range {
  readonly least: number
  readonly most: number
}

export interface EndlessActions {
  readonly haveFaultsEnded: () => boolean
  /** A key that isn't revoked. Undefined if callers need no keys. */
  readonly validKey: () => string | undefined
}

export class EndlessFaults {
  private nextCall_ = 0

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: EndlessActions
  ) {}

  /** Injects faults until all faults have ended, and all their callers have an answer. */
  async play(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(GAP_MS)
      if (this.actions_.haveFaultsEnded()) return
      await this.answerEndlessly(this.draws_.pick(KINDS))
    }
  }

  private async answerEndlessly(kind: EndlessKind): Promise<void> {
    this.record_.faults.push({name: `endless-${kind}`, at: performance.now()})
    const end = this.setEndless(kind)
    const {boxes} = this.bed_
    const only = this.draws_.pick(boxes)
    const isOne = this.draws_.draw() < ONE_BOX_SHARE
    const spreadMs = this.drawFrom(SPREAD_MS)
    const count = Math.round(this.drawFrom(CALLS))
    const calls = Array.from({length: count}, async () => {
      const box = isOne ? only : this.draws_.pick(boxes)
      const path = this.draws_.pick(PATHS)
      await sleep(spreadMs * this.draws_.draw())
      await this.call(box, path, kind)
    })
    await Promise.all(calls)
    end()
  }

  /**
   * Lets all engines and one plain worker answer these calls without end. The other calls
   * are served. Returns a function that ends it.
   */
  private setEndless(kind: EndlessKind): () => void {
    const {engines, plain, workerProxies} = this.bed_
    const struck = [...engines, this.draws_.pick(plain)]
    const addresses = new Set(struck.map(({announcedAddress}) => announcedAddress))
    const proxies = workerProxies.filter(({port}) => addresses.has(`127.0.0.1:${port}`))
    const answers = (head: string): EndlessKind | undefined =>
      head.split(" ", 2)[1]?.endsWith(MARK) ? kind : undefined
    for (const proxy of proxies) proxy.answersEndlessly = answers
    return () => {
      for (const proxy of proxies) proxy.answersEndlessly = () => undefined
    }
  }

  private async call(
    box: BedBox,
    path: (typeof PATHS)[number],
    kind: EndlessKind
  ): Promise<void> {
    const key = this.actions_.validKey()
    const isModel = path === "/stream" || path === "/once"
    // Requests with the same body are the same request to boxes.
    const body = JSON.stringify({endless: ++this.nextCall_})
    const sentAt = performance.now()
    // A timer of this process, which may be late itself.
    let overAt: number | undefined
    const timer = setTimeout(() => (overAt = performance.now()), ENDLESS_DEADLINE_MS)
    const outcome = await this.bed_.call(box, `${path}${MARK}`, {
      deadlineMs: ENDLESS_DEADLINE_MS,
      usage: "1,1",
      ...(path === "/safe" ? {} : {body}),
      ...(isModel ? {adapter: "a0"} : {}),
      ...(key === undefined ? {} : {key})
    })
    clearTimeout(timer)
    const answeredAt = performance.now()
    this.record_.endless.push({
      path,
      kind,
      box: box.name,
      outcome,
      sentAt,
      overAt,
      answeredAt
    })
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(range: Range): Promise<void> {
    const end = performance.now() + this.drawFrom(range)
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) await sleep(50)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
