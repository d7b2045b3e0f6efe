/**
 * Load pattern without a network: callers take broken streams up at other boxes, which
 * have to learn which software version began them, while boxes are killed, messages are
 * lost, leaders change and boxes differ in the members that they know.
 *
 * Faults are scheduled before a run, so that what a box holds at a time follows from the
 * schedule. Only streams that break are followed. `stream-origin-traffic.ts` counts the
 * messages of all streams.
 */
import {rankMembers} from "../../src/utils/rendezvous.js"
import {drawFrom, LINK_MS} from "./fleet.js"

/**
 * Ways of knowing which version began a stream: `own` is the memory of the box that began
 * it, `all` asks all boxes, `told-K` tells K boxes, `told-2-apart` tells two outside the
 * data centre of the box that began it, `leader` tells the leader.
 */
export const ORIGIN_WAYS = [
  "own",
  "all",
  "told-1",
  "told-2",
  "told-3",
  "told-2-apart",
  "leader"
] as const

export type OriginWay = (typeof ORIGIN_WAYS)[number]

export const ORIGIN_FAULTS = [
  "none",
  "one box",
  "three boxes",
  "data centre",
  "leader",
  "lost messages"
] as const

export type OriginFault = (typeof ORIGIN_FAULTS)[number]

export interface StreamOriginsOptions {
  readonly seed: number
  readonly boxes: number
  readonly fault: OriginFault
  /** Share of the other boxes that each box does not know. */
  readonly unknownMembers: number
}

export interface OriginResult {
  /** Streams that were taken up. */
  readonly takenUp: number
  /** Streams whose version was known at the first try. */
  readonly knownAtFirst: number
  /** Streams whose version was known at any try. */
  readonly known: number
  /** Streams for which a version was used that did not begin them. */
  readonly wrong: number
  /** Boxes that were asked, per try. */
  readonly askedPerTry: number
  /** Times until a known version was answered, over all tries (ms). */
  readonly knownAfterMs: readonly number[]
  /** Times until a refusal, over all tries (ms). */
  readonly refusedAfterMs: readonly number[]
}

/** Streams that begin per second and box. */
export const STREAMS_PER_SECOND = 20
/** Time from the first to the last event of a stream. */
export const STREAM_MS: readonly [number, number] = [1_000, 4_000]
/** Longest time for which entries for other boxes are gathered. */
export const TELL_BATCH_MS = 20
/** Longest time for which entries for the leader are gathered. */
export const LEADER_BATCH_MS = 100
/** Boxes that are asked in addition to the number of boxes that are told. */
export const MORE_ASKED = 2
/** Boxes that are asked outside each data centre in addition to those that are told. */
const MORE_ASKED_APART = 1
const DATA_CENTRES = 3

const FAULT_AT_MS = [10_000, 30_000, 34_000, 54_000, 58_000, 78_000]
/** Losses of a data centre do not overlap. */
const DATA_CENTRE_FAULT_AT_MS = [10_000, 30_000, 54_000, 78_000]
const END_MS = 90_000
const RESTART_MS = 1_000
const DATA_CENTRE_OUTAGE_MS = 6_000
const TAKEOVER_MS = 2_000
const LOSS_MS = 4_000
const LOSS_SHARE = 0.1
/** Time after which boxes remove a box that is down from the members that they know. */
const SILENCE_MS = 2_500
const ASK_TIMEOUT_MS = 100
const RETURN_MS: readonly [number, number] = [50, 500]
const RETRY_MS = 300
const MAX_TRIES = 3
const VERSIONS = 3

/** Most streams that are followed in a run. */
const MAX_FOLLOWED = 120

interface Outage {
  readonly from: number
  readonly until: number
}

interface Term extends Outage {
  readonly leader: number
}

interface Stream {
  readonly id: string
  readonly version: number
  readonly box: number
  readonly firstEventAt: number
  readonly brokenAt: number
}

interface Entry {
  readonly box: number
  readonly at: number
  readonly version: number
}

interface Answer {
  readonly version: number | undefined
  readonly afterMs: number
}

/** Simulates the pattern for all ways, each with the same streams and faults. */
export function simulateStreamOrigins(
  options: StreamOriginsOptions
): ReadonlyMap<OriginWay, OriginResult> {
  const schedule = new FaultSchedule(options)
  const streams = drawStreams(options, schedule)
  return new Map(
    ORIGIN_WAYS.map((way, i) => {
      const draw = drawFrom(options.seed * 31 + i + 1)
      return [way, new TakeUps(options, schedule, way, draw).play(streams)]
    })
  )
}

/** Data centre of a box, by index. */
function dataCentreOf(box: number, boxes: number): number {
  return Math.min(DATA_CENTRES - 1, Math.floor(box / Math.floor(boxes / DATA_CENTRES)))
}

/** Number of boxes that `way` tells, or 0. */
export function toldBoxes(way: OriginWay): number {
  return way.startsWith("told-") ? parseInt(way.slice("told-".length), 10) : 0
}

/** When boxes are down, who leads, which messages are lost and who knows whom. */
class FaultSchedule {
  readonly outages: Outage[][]
  readonly terms: Term[] = []
  readonly lossy: Outage[]
  private readonly unknown_: Uint8Array

  constructor(private readonly options_: StreamOriginsOptions) {
    const {seed, boxes, fault, unknownMembers} = options_
    const draw = drawFrom(seed)
    this.outages = Array.from({length: boxes}, () => [])
    this.lossy =
      fault === "lost messages"
        ? FAULT_AT_MS.map(from => ({from, until: from + LOSS_MS}))
        : []
    let leader = Math.floor(draw() * boxes)
    let from = 0
    for (const at of fault === "data centre" ? DATA_CENTRE_FAULT_AT_MS : FAULT_AT_MS) {
      for (const box of this.drawKilled(leader, draw)) {
        const outageMs = fault === "data centre" ? DATA_CENTRE_OUTAGE_MS : RESTART_MS
        const last = this.outages[box]?.at(-1)
        if (last && last.until > at) continue
        this.outages[box]?.push({from: at, until: at + outageMs})
      }
      if (this.isUp(leader, at)) continue
      this.terms.push({leader, from, until: at})
      from = at + TAKEOVER_MS
      do leader = Math.floor(draw() * boxes)
      while (!this.isUp(leader, at) || !this.isUp(leader, from))
    }
    this.terms.push({leader, from, until: Infinity})
    this.unknown_ = new Uint8Array(boxes * boxes)
    if (unknownMembers === 0) return
    for (let i = 0; i < this.unknown_.length; i++) {
      this.unknown_[i] = draw() < unknownMembers ? 1 : 0
    }
  }

  private drawKilled(leader: number, draw: () => number): number[] {
    const {boxes, fault} = this.options_
    if (fault === "leader") return [leader]
    if (fault === "data centre") {
      const lost = Math.floor(draw() * DATA_CENTRES)
      const all = Array.from({length: boxes}, (_, box) => box)
      return all.filter(box => dataCentreOf(box, boxes) === lost)
    }
    const count = fault === "one box" ? 1 : fault === "three boxes" ? 3 : 0
    const killed = new Set<number>()
    while (killed.size < count) killed.add(Math.floor(draw() * boxes))
    return [...killed]
  }

  isUp(box: number, at: number): boolean {
    return !this.outages[box]?.some(({from, until}) => at >= from && at < until)
  }

  /** Whether the process of a box at `from` still runs at `until`. */
  runs(box: number, from: number, until: number): boolean {
    return (
      this.isUp(box, from) &&
      !this.outages[box]?.some(outage => outage.from > from && outage.from <= until)
    )
  }

  /** Whether `box` counts `other` among the members at a time. */
  knows(box: number, other: number, at: number): boolean {
    if (this.unknown_[box * this.options_.boxes + other]) return false
    return !this.outages[other]?.some(
      ({from, until}) => at >= from + SILENCE_MS && at < until
    )
  }

  termAt(at: number): Term | undefined {
    return this.terms.find(({from, until}) => at >= from && at < until)
  }

  lossAt(at: number): number {
    return this.lossy.some(({from, until}) => at >= from && at < until) ? LOSS_SHARE : 0
  }
}

/**
 * Draws streams that break: those of killed boxes, or those that their servers break off
 * during the fault. When a leader is lost, both.
 */
function drawStreams(options: StreamOriginsOptions, schedule: FaultSchedule): Stream[] {
  const {seed, boxes, fault} = options
  const draw = drawFrom(seed * 31)
  const between = ([least, most]: readonly [number, number]): number =>
    least + draw() * (most - least)
  const drawn: Omit<Stream, "id">[] = []
  const add = (box: number, brokenAt: number): void => {
    // Of the streams in progress at a time, longer ones are more frequent.
    let durationMs = between(STREAM_MS)
    while (draw() * STREAM_MS[1] > durationMs) durationMs = between(STREAM_MS)
    const firstEventAt = brokenAt - draw() * durationMs
    if (!schedule.runs(box, firstEventAt, brokenAt - 1)) return
    const version = Math.floor(draw() * VERSIONS)
    drawn.push({box, brokenAt, firstEventAt, version})
  }
  const isKill = fault !== "none" && fault !== "lost messages"
  if (isKill) {
    const inProgress = (STREAMS_PER_SECOND * (STREAM_MS[0] + STREAM_MS[1])) / 2_000
    schedule.outages.forEach((outages, box) => {
      for (const {from} of outages) for (let i = 0; i < inProgress; i++) add(box, from)
    })
  }
  if (fault === "none" || fault === "lost messages" || fault === "leader") {
    const spanMs = fault === "leader" ? TAKEOVER_MS : LOSS_MS
    for (let i = 0; i < MAX_FOLLOWED; i++) {
      const from = FAULT_AT_MS[i % FAULT_AT_MS.length] ?? 0
      add(Math.floor(draw() * boxes), from + draw() * spanMs)
    }
  }
  const share = MAX_FOLLOWED / drawn.length
  return drawn
    .filter(({brokenAt}) => brokenAt < END_MS && draw() < share)
    .map((stream, i) => ({...stream, id: `${seed}-${i}`}))
}

const rankings = new Map<string, readonly number[]>()

/** Ranks all boxes for a request. Kept, because all runs use the same request ids. */
function rankBoxes(id: string, boxes: number): readonly number[] {
  const key = `${boxes}/${id}`
  const kept = rankings.get(key)
  if (kept) return kept
  const names = Array.from({length: boxes}, (_, i) => `box-${i}`)
  const ranked = rankMembers(id, names).map(name => Number(name.slice("box-".length)))
  rankings.set(key, ranked)
  return ranked
}

/** Takes streams up and learns their versions in one way. */
class TakeUps {
  private readonly knownAfterMs_: number[] = []
  private readonly refusedAfterMs_: number[] = []
  private knownAtFirst_ = 0
  private known_ = 0
  private wrong_ = 0
  private asked_ = 0

  constructor(
    private readonly options_: StreamOriginsOptions,
    private readonly schedule_: FaultSchedule,
    private readonly way_: OriginWay,
    private readonly draw_: () => number
  ) {}

  play(streams: readonly Stream[]): OriginResult {
    for (const stream of streams) this.takeUp(stream)
    return {
      takenUp: streams.length,
      knownAtFirst: this.knownAtFirst_,
      known: this.known_,
      wrong: this.wrong_,
      askedPerTry:
        this.asked_ / (this.knownAfterMs_.length + this.refusedAfterMs_.length || 1),
      knownAfterMs: this.knownAfterMs_,
      refusedAfterMs: this.refusedAfterMs_
    }
  }

  private takeUp(stream: Stream): void {
    const entries = this.tell(stream)
    const [least, most] = RETURN_MS
    let at = stream.brokenAt + least + this.draw_() * (most - least)
    let previous = stream.box
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const box = this.drawLiveBox(at, previous)
      const {version, afterMs} = this.ask(stream, entries, box, at)
      if (version !== undefined) {
        this.knownAfterMs_.push(afterMs)
        this.known_++
        if (attempt === 0) this.knownAtFirst_++
        if (version !== stream.version) this.wrong_++
        return
      }
      this.refusedAfterMs_.push(afterMs)
      previous = box
      at += afterMs + RETRY_MS
    }
  }

  private drawLiveBox(at: number, previous: number): number {
    let box: number
    do box = Math.floor(this.draw_() * this.options_.boxes)
    while (box === previous || !this.schedule_.isUp(box, at))
    return box
  }

  /** Time until a message arrives (ms), or undefined if it is lost. */
  private deliver(at: number): number | undefined {
    if (this.draw_() < this.schedule_.lossAt(at)) return undefined
    return LINK_MS * (0.5 - Math.log(1 - this.draw_()))
  }

  /** Returns the entries that boxes receive for a stream, and that of its own box. */
  private tell(stream: Stream): Entry[] {
    const {box, firstEventAt: at, version} = stream
    const entries = [{box, at, version}]
    const send = (to: number, sentAt: number): void => {
      const delay = this.deliver(sentAt)
      if (delay === undefined || !this.schedule_.runs(box, at, sentAt)) return
      if (!this.schedule_.isUp(to, sentAt + delay)) return
      entries.push({box: to, at: sentAt + delay, version})
    }
    const sentAt = at + this.draw_() * TELL_BATCH_MS
    const told = toldBoxes(this.way_)
    const apart = this.way_ === "told-2-apart" ? this.dataCentreOf(box) : undefined
    for (const to of this.rankOthers(stream.id, box, sentAt, told, apart))
      send(to, sentAt)
    if (this.way_ === "leader") {
      for (const {leader, from, until} of this.schedule_.terms) {
        const sentAt = Math.max(at, from) + this.draw_() * LEADER_BATCH_MS
        if (sentAt < until) send(leader, sentAt)
      }
    }
    return entries
  }

  private dataCentreOf(box: number): number {
    return dataCentreOf(box, this.options_.boxes)
  }

  /**
   * Returns the first `count` of the other boxes that a box knows, without those of the
   * data centre `apart`.
   */
  private rankOthers(
    id: string,
    box: number,
    at: number,
    count: number,
    apart?: number
  ): number[] {
    const found: number[] = []
    if (count === 0) return found
    for (const other of rankBoxes(id, this.options_.boxes)) {
      if (other === box || !this.schedule_.knows(box, other, at)) continue
      if (this.dataCentreOf(other) === apart) continue
      found.push(other)
      if (found.length === count) break
    }
    return found
  }

  private ask(
    stream: Stream,
    entries: readonly Entry[],
    box: number,
    at: number
  ): Answer {
    const own = this.versionAt(entries, box, at)
    if (own !== undefined) return {version: own, afterMs: 0}
    let knownAfterMs = Infinity
    let version: number | undefined
    let allAfterMs = 0
    for (const to of this.asked(stream, box, at)) {
      this.asked_++
      const request = this.deliver(at)
      const answer = this.deliver(at + (request ?? 0))
      const isLost = request === undefined || answer === undefined
      const afterMs = isLost ? Infinity : request + answer
      if (isLost || afterMs > ASK_TIMEOUT_MS || !this.schedule_.isUp(to, at + request)) {
        allAfterMs = ASK_TIMEOUT_MS
        continue
      }
      allAfterMs = Math.max(allAfterMs, afterMs)
      const told = this.versionAt(entries, to, at + request)
      if (told === undefined || afterMs >= knownAfterMs) continue
      version = told
      knownAfterMs = afterMs
    }
    return {version, afterMs: version === undefined ? allAfterMs : knownAfterMs}
  }

  private asked({id}: Stream, box: number, at: number): number[] {
    switch (this.way_) {
      case "own":
        return []
      case "all":
        return this.rankOthers(id, box, at, this.options_.boxes)
      case "leader": {
        const term = this.schedule_.termAt(at)
        // Without a leader the request waits for an answer that does not come.
        return [
          term?.leader ?? this.schedule_.terms.find(t => t.from > at)?.leader ?? 0
        ].filter(leader => leader !== box || term === undefined)
      }
      case "told-2-apart": {
        const count = toldBoxes(this.way_) + MORE_ASKED_APART
        const asked = new Set<number>()
        for (let apart = 0; apart < DATA_CENTRES; apart++) {
          for (const to of this.rankOthers(id, box, at, count, apart)) asked.add(to)
        }
        return [...asked]
      }
      default:
        return this.rankOthers(id, box, at, toldBoxes(this.way_) + MORE_ASKED)
    }
  }

  /** Returns the version that a box holds for the stream at a time. */
  private versionAt(
    entries: readonly Entry[],
    box: number,
    at: number
  ): number | undefined {
    return entries.find(
      entry =>
        entry.box === box && entry.at <= at && this.schedule_.runs(box, entry.at, at)
    )?.version
  }
}
