/**
 * Counts the messages, bytes and entries of the ways of knowing which version began a
 * stream: while one stream in a hundred breaks, and in the second after a third of the
 * boxes is lost.
 */
import {drawFrom} from "./fleet.js"
import {
  LEADER_BATCH_MS,
  MORE_ASKED,
  type OriginWay,
  STREAM_MS,
  STREAMS_PER_SECOND,
  TELL_BATCH_MS,
  toldBoxes
} from "./stream-origins.js"

export interface OriginTrafficOptions {
  readonly seed: number
  readonly boxes: number
  readonly way: OriginWay
  /** Whether boxes hold links to each other, and do not acknowledge entries. */
  readonly linked?: boolean
}

export interface BoxTraffic {
  /** Messages sent and received per second. */
  readonly messages: number
  /** Bytes sent and received per second. */
  readonly bytes: number
}

export interface OriginTraffic {
  readonly mean: BoxTraffic
  readonly busiest: BoxTraffic
  /** The busiest box in the second after a third of the boxes is lost. */
  readonly busiestAfterLoss: BoxTraffic
  readonly meanEntries: number
  readonly mostEntries: number
}

/** Bytes of a small HTTP request, or of its response, besides the body. */
const HTTP_BYTES = 250
const LINK_BYTES = 30
/** Bytes of a request id and a version. */
const ENTRY_BYTES = 30
/** Bytes of a version in an answer. */
const VERSION_BYTES = 10

const BROKEN_SHARE = 0.01
const SECONDS = 3
/** Time for which an entry is kept. */
const ENTRY_SECONDS = 10

class Counts {
  readonly messages: Float64Array
  readonly bytes: Float64Array

  constructor(boxes: number) {
    this.messages = new Float64Array(boxes)
    this.bytes = new Float64Array(boxes)
  }

  add(box: number, messages: number, bytes: number): void {
    this.messages[box] = (this.messages[box] ?? 0) + messages
    this.bytes[box] = (this.bytes[box] ?? 0) + bytes
  }
}

/** Counts the traffic of one way. */
export function measureOriginTraffic(options: OriginTrafficOptions): OriginTraffic {
  const {boxes, way, seed, linked = false} = options
  const draw = drawFrom(seed)
  const any = (): number => Math.floor(draw() * boxes)
  const headBytes = linked || way === "leader" ? LINK_BYTES : HTTP_BYTES
  const usual = new Counts(boxes)
  const entries = new Float64Array(boxes)
  const leader = 0

  const exchange = (counts: Counts, from: number, to: number): void => {
    if (from === to) return
    const bytes = 2 * headBytes + ENTRY_BYTES + VERSION_BYTES
    counts.add(from, 2, bytes)
    counts.add(to, 2, bytes)
  }
  const ask = (counts: Counts, from: number, isUp: (box: number) => boolean): void => {
    if (way === "own") return
    if (way === "leader") return exchange(counts, from, leader)
    if (way === "all") {
      for (let to = 0; to < boxes; to++) if (isUp(to)) exchange(counts, from, to)
      return
    }
    for (let i = 0; i < toldBoxes(way) + MORE_ASKED; i++) {
      const to = any()
      if (isUp(to)) exchange(counts, from, to)
    }
  }
  const tellBatch = (from: number, to: number, isNew: boolean): void => {
    const isAcknowledged = headBytes === HTTP_BYTES
    const messages = isNew ? (isAcknowledged ? 2 : 1) : 0
    const bytes = messages * headBytes + ENTRY_BYTES
    usual.add(from, messages, bytes)
    usual.add(to, messages, bytes)
    entries[to] = (entries[to] ?? 0) + 1
  }

  for (let box = 0; box < boxes; box++) {
    const batchUntil = new Map<number, number>()
    const nextMs = (): number => (-Math.log(1 - draw()) * 1_000) / STREAMS_PER_SECOND
    for (let at = nextMs(); at < SECONDS * 1_000; at += nextMs()) {
      entries[box] = (entries[box] ?? 0) + 1
      const targets = way === "leader" ? [leader] : []
      while (targets.length < Math.min(toldBoxes(way), boxes - 1)) {
        const to = any()
        if (to !== box && !targets.includes(to)) targets.push(to)
      }
      const batchMs = way === "leader" ? LEADER_BATCH_MS : TELL_BATCH_MS
      for (const to of targets) {
        if (to === box) continue
        const isNew = at >= (batchUntil.get(to) ?? 0)
        if (isNew) batchUntil.set(to, at + batchMs)
        tellBatch(box, to, isNew)
      }
      if (draw() < BROKEN_SHARE) ask(usual, any(), () => true)
    }
  }

  const lost = Math.floor(boxes / 3)
  const isUp = (box: number): boolean => box < boxes - lost
  const after = new Counts(boxes)
  const inProgress = (STREAMS_PER_SECOND * (STREAM_MS[0] + STREAM_MS[1])) / 2_000
  for (let i = 0; i < lost * inProgress; i++) {
    ask(after, Math.floor(draw() * (boxes - lost)), isUp)
  }
  usual.messages.forEach((messages, box) => {
    if (isUp(box)) after.add(box, messages / SECONDS, (usual.bytes[box] ?? 0) / SECONDS)
  })

  const mean = (values: Float64Array): number =>
    values.reduce((a, b) => a + b, 0) / boxes / SECONDS
  const most = (values: Float64Array): number => Math.max(...values) / SECONDS
  return {
    mean: {messages: mean(usual.messages), bytes: mean(usual.bytes)},
    busiest: {messages: most(usual.messages), bytes: most(usual.bytes)},
    busiestAfterLoss: {
      messages: Math.max(...after.messages),
      bytes: Math.max(...after.bytes)
    },
    meanEntries: mean(entries) * ENTRY_SECONDS,
    mostEntries: most(entries) * ENTRY_SECONDS
  }
}
