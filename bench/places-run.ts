/** One run of a leader and its boxes under simulated time, and what it counts. */
import {packDeflated} from "../src/adapters/link-codec.js"
import {build as buildHistogram} from "hdr-histogram-js"
import {describeFleet, describeLoads} from "../src/core/placement-news.js"
import type {FleetEffect, FleetEngine} from "../src/core/placement-state.js"
import type {EngineDelta, EngineSnapshot, FromLeader} from "../src/types/box-messages.js"
import {BenchBoxes} from "./places-boxes.js"
import {BenchLeader} from "./places-leader.js"
import {Links} from "./places-links.js"
import {createDraws, createZipf} from "./workload.js"

export interface Size {
  readonly boxes: number
  readonly engines: number
  readonly adapters: number
  readonly requestsPerS: number
  /** Simulated time that is measured, milliseconds. */
  readonly lengthMs: number
}

/** What a run counted; bytes and messages over the whole length, times of the processor in milliseconds. */
export interface Counted {
  /** Simulated time that was counted, milliseconds; less than 0: the run ended before any was. */
  readonly countedMs: number
  readonly leaderMessages: number
  readonly leaderBytes: number
  /** Heard by each box, of what is told to all. */
  readonly boxBytes: number
  readonly heardMessages: number
  readonly heardBytes: number
  readonly needs: number
  readonly loads: number
  readonly coreMs: number
  readonly packMs: number
  readonly applyMs: number
  /** From an order to a box's knowledge of it, milliseconds, of half and of 99 in 100 changes told to all. */
  readonly ageP50Ms: number
  readonly ageP99Ms: number
  readonly pictureBytes: number
  /** Heard by each box if the engines that changed were told as whole pictures. */
  readonly picturesBytes: number
  /** Both ways at the leader if each request were asked for. */
  readonly askingBytes: number
}

/** Before this nothing is counted, milliseconds: boxes and leader come to know each other's first news. */
const SETTLE_MS = 500
/** A run ends early where it takes longer than this, milliseconds of the clock. */
const LONGEST_MS = 60_000
/** One box is cut off for so long, from the beginning of what is counted. */
const CUT_MS = 1_000
const ZIPF = 1
const SEED = 7
/** A line of 1 Gbit a second. */
const LINE_BYTES_PER_MS = 125_000
const WAY_MS = 2
const LOSS = 0.001
const MS_PER_S = 1_000

const NOTHING = {
  leaderMessages: 0,
  leaderBytes: 0,
  boxBytes: 0,
  packMs: 0,
  picturesBytes: 0,
  askingBytes: 0
}

export class PlacesRun {
  private now_ = 0
  private readonly due_ = new Map<number, (() => void)[]>()
  private readonly draw_ = createDraws(SEED)
  private readonly zipf_: () => number
  private readonly leader_: BenchLeader
  private readonly boxes_: BenchBoxes
  private readonly links_: Links
  private readonly ages_ = buildHistogram()
  private counts_ = {...NOTHING}

  constructor(private readonly size_: Size) {
    const after = (ms: number, act: () => void): void => this.after(ms, act)
    const now = (): number => this.now_
    const drawAdapter = (): string => this.drawAdapter()
    this.zipf_ = createZipf(size_.adapters, ZIPF, this.draw_)
    this.leader_ = new BenchLeader({...size_, drawAdapter, after, now})
    this.boxes_ = new BenchBoxes({
      boxes: size_.boxes,
      wayMs: WAY_MS,
      leader: this.leader_,
      draw: this.draw_,
      after,
      now
    })
    this.links_ = new Links({
      bytesPerMs: LINE_BYTES_PER_MS,
      delayMs: WAY_MS,
      loss: LOSS,
      draw: this.draw_
    })
  }

  /** The picture that a new box is told. */
  tellPicture(): Buffer {
    const {fleet} = this.leader_
    const engines = describeFleet(fleet, this.now_)
    const picture = this.pack({t: "engines", engines})
    this.boxes_.apply(picture)
    this.boxes_.apply(this.pack({t: "loads", loads: describeLoads(fleet)}))
    return picture
  }

  run(): Counted {
    const pictureBytes = this.tellPicture().length
    this.after(SETTLE_MS, () => this.beginCounting())
    const end = SETTLE_MS + this.size_.lengthMs
    const giveUpAt = performance.now() + LONGEST_MS
    let requests = 0
    for (; this.now_ < end && performance.now() < giveUpAt; this.now_++) {
      for (const act of this.due_.get(this.now_) ?? []) act()
      this.due_.delete(this.now_)
      requests += this.size_.requestsPerS / MS_PER_S
      for (; requests >= 1; requests--) this.request()
      this.boxes_.flushUses()
      for (const effect of this.leader_.planIfDue()) this.tell(effect)
    }
    const {boxes_: boxes, leader_: leader, ages_: ages} = this
    return {
      ...this.counts_,
      countedMs: this.now_ - SETTLE_MS,
      pictureBytes,
      heardMessages: boxes.messages,
      heardBytes: boxes.bytes,
      needs: boxes.needs,
      loads: leader.loads,
      coreMs: leader.coreMs,
      applyMs: boxes.applyMs,
      ageP50Ms: ages.getValueAtPercentile(50),
      ageP99Ms: ages.getValueAtPercentile(99)
    }
  }

  private beginCounting(): void {
    this.counts_ = {...NOTHING}
    this.ages_.reset()
    this.boxes_.resetCounts()
    this.leader_.resetCounts()
    this.links_.cut(0, this.now_, this.now_ + CUT_MS)
  }

  private after(ms: number, act: () => void): void {
    const at = Math.max(this.now_ + 1, Math.round(this.now_ + ms))
    const there = this.due_.get(at)
    if (there) there.push(act)
    else this.due_.set(at, [act])
  }

  private drawAdapter(): string {
    return `adapter-${this.zipf_()}`
  }

  private request(): void {
    const adapter = this.drawAdapter()
    this.counts_.askingBytes += this.boxes_.askedBytes(adapter)
    this.boxes_.request(adapter)
  }

  private tell(effect: FleetEffect): void {
    if (effect.type === "loads") return this.broadcast({t: "loads", loads: effect.loads})
    if (effect.type !== "places") return
    const {changes, loads, boxes} = effect
    for (const change of changes) this.boxes_.serveWaiting(change)
    if (boxes) return this.answer(changes, boxes.length)
    this.counts_.picturesBytes += this.countPictures(changes)
    this.broadcast({t: "places", changes, loads})
  }

  /** Boxes that wait are told where their weights will be. */
  private answer(changes: readonly EngineDelta[], boxes: number): void {
    this.counts_.leaderMessages += boxes
    this.counts_.leaderBytes += boxes * this.pack({t: "places", changes}).length
  }

  private broadcast(message: FromLeader): void {
    const packed = this.pack(message)
    const {boxes} = this.size_
    this.counts_.leaderMessages += boxes
    this.counts_.leaderBytes += packed.length * boxes
    this.counts_.boxBytes += packed.length
    const arrivals = Array.from({length: boxes}, (_, box) =>
      this.links_.send(box, packed.length, this.now_)
    )
    this.after((arrivals[0] ?? 0) - this.now_, () => this.boxes_.apply(packed))
    if (message.t === "places") this.noteAges(message.changes, arrivals)
  }

  private noteAges(changes: readonly EngineDelta[], arrivals: readonly number[]): void {
    const {orderedAt} = this.leader_
    for (const {engine, places, gone} of changes) {
      for (const adapter of [...places.map(place => place.adapter), ...gone]) {
        const since = orderedAt.get(`${engine} ${adapter}`)
        if (since === undefined) continue
        // What is told once more, as when its load is late, is no change.
        orderedAt.delete(`${engine} ${adapter}`)
        for (const at of arrivals) this.ages_.recordValue(Math.round(at - since))
      }
    }
  }

  private countPictures(changes: readonly EngineDelta[]): number {
    const ids = new Set(changes.map(({engine}) => engine))
    const engines = [...ids].flatMap(id => {
      const engine = this.leader_.fleet.engines.get(id)
      return engine ? [describeEngine(engine)] : []
    })
    return packDeflated({t: "engines", engines} satisfies FromLeader).length
  }

  private pack(message: FromLeader): Buffer {
    const begun = performance.now()
    const packed = packDeflated(message)
    this.counts_.packMs += performance.now() - begun
    return packed
  }
}

function describeEngine({id, models, places}: FleetEngine): EngineSnapshot {
  const held = [...places].map(([adapter, {version}]) => ({
    adapter,
    version,
    readyInMs: 0
  }))
  return {engine: id, models: [...models], places: held}
}
