/**
 * Planned stops of boxes with a short grace period, in a round of the soak: of one box, of
 * the leader, of all in series that overlap, and of several at once, while callers of long
 * requests keep using open connections until the processes are gone. Drawn from a random
 * series of their own, so that the other faults of a seed stay the same.
 */
import {streamBody, workBody} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {PlannedStop, SoakDraws, SoakRecord} from "./soak-record.js"
import {until} from "./wait.js"

/** Grace periods of the boxes, one of which a round has. */
const GRACES_S = [2, 2.5, 3, 4, 6, 8] as const

/** Time from the end of one fault to the next one, and between stops in series. */
const GAP_MS = {least: 500, most: 2_500}
const SERIES_GAP_MS = {least: 100, most: 2_500}

const KINDS = ["stop-one", "stop-leader", "stop-series", "stop-several"] as const

/** Share of the stops with a further SIGTERM, and when it comes. */
const REPEAT_SHARE = 0.3
const REPEAT_MS = {least: 50, most: 1_500}

/** Interval between long requests, and share of them that go to stopping boxes. */
const CALL_INTERVAL_MS = 40
const STOPPING_SHARE = 0.7

/** Time that callers allow, that workers need, and that an upload takes. */
const DEADLINE_MS = 4_000
const WORK_MS = {least: 30, most: 2_500}
const UPLOAD_MS = {least: 200, most: 2_500}

const EVENT_GAP_MS = 50
const PATHS = ["/unsafe", "/upload", "/stream", "/once"] as const

interface Range {
  readonly least: number
  readonly most: number
}

export interface StopActions {
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
  /** A key that isn't revoked. Undefined if callers need no keys. */
  readonly validKey: () => string | undefined
}

/** Draws the grace period of a round's boxes. */
export function drawGraceS(draws: SoakDraws): number {
  return draws.pick(GRACES_S)
}

export class StopFaults {
  private nextCall_ = 0

  /** The requests have draws of their own, as their number depends on the machine. */
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly callDraws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly graceS_: number,
    private readonly actions_: StopActions
  ) {}

  /** Injects faults until all faults have ended, and all their callers have an answer. */
  async play(): Promise<void> {
    const calls: Promise<void>[] = []
    const stopping = new Set<BedBox>()
    const timer = setInterval(() => calls.push(this.call(stopping)), CALL_INTERVAL_MS)
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(GAP_MS)
      if (this.actions_.haveFaultsEnded()) break
      await this.stop(this.draws_.pick(KINDS), stopping)
    }
    clearInterval(timer)
    await Promise.all(calls)
  }

  private async stop(kind: (typeof KINDS)[number], stopping: Set<BedBox>): Promise<void> {
    this.record_.faults.push({name: kind, at: performance.now()})
    const {boxes} = this.bed_
    const one = this.draws_.pick(boxes)
    const stops: Promise<void>[] = []
    if (kind === "stop-one") stops.push(this.stopBox(one, stopping))
    else if (kind === "stop-leader")
      stops.push(this.stopBox(this.bed_.leader() ?? one, stopping))
    else {
      const stopped = boxes.filter(box => box !== one)
      for (const box of stopped) {
        if (kind === "stop-series" && stops.length > 0) await this.pauseFor(SERIES_GAP_MS)
        stops.push(this.stopBox(box, stopping))
      }
    }
    await Promise.all(stops)
  }

  /** Stops a box as the platform does: by SIGTERM, and by SIGKILL after its grace. */
  private async stopBox(box: BedBox, stopping: Set<BedBox>): Promise<void> {
    const {child} = box
    const repeatMs =
      this.draws_.draw() < REPEAT_SHARE ? this.drawFrom(REPEAT_MS) : undefined
    if (child.ended || stopping.has(box)) return
    stopping.add(box)
    const graceMs = 1_000 * this.graceS_
    const stop: PlannedStop = {
      box: box.name,
      from: performance.now(),
      until: Infinity,
      graceMs
    }
    this.record_.plannedStops.push(stop)
    await this.actions_.restart(box, "SIGTERM")
    const kill = setTimeout(() => child.signal("SIGKILL"), graceMs)
    const repeat = setTimeout(
      () => repeatMs !== undefined && child.signal("SIGTERM"),
      repeatMs
    )
    await until("the box has stopped", () => child.ended)
    stop.until = performance.now()
    clearTimeout(kill)
    clearTimeout(repeat)
    stopping.delete(box)
  }

  private async call(stopping: ReadonlySet<BedBox>): Promise<void> {
    const draws = this.callDraws_
    const atStopping = draws.draw() < STOPPING_SHARE && stopping.size > 0
    const box = draws.pick(atStopping ? [...stopping] : this.bed_.boxes)
    const path = draws.pick(PATHS)
    const workMs = drawFrom(draws, WORK_MS)
    const uploadMs = drawFrom(draws, UPLOAD_MS)
    const isPlain = path === "/unsafe" || path === "/upload"
    const key = this.actions_.validKey()
    const name = `w-${++this.nextCall_}`
    const length = {events: Math.ceil(workMs / EVENT_GAP_MS), gapMs: EVENT_GAP_MS}
    const body = isPlain ? workBody(name, workMs) : streamBody(name, length)
    const sentAt = performance.now()
    const outcome = await this.bed_.call(
      box,
      `${path === "/upload" ? "/unsafe" : path}/x`,
      {
        deadlineMs: DEADLINE_MS,
        usage: "1,1",
        body: path === "/upload" ? sendSlowly(body, uploadMs) : body,
        ...(isPlain ? {} : {adapter: "a0"}),
        ...(key === undefined ? {} : {key})
      }
    )
    const answeredAt = performance.now()
    this.record_.long.push({
      path,
      box: box.name,
      outcome,
      sentAt,
      answeredAt,
      workMs,
      deadlineMs: DEADLINE_MS
    })
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(range: Range): Promise<void> {
    const end = performance.now() + this.drawFrom(range)
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) await sleep(50)
  }

  private drawFrom(range: Range): number {
    return drawFrom(this.draws_, range)
  }
}

/** Yields a body in two parts. */
async function* sendSlowly(body: string, ms: number): AsyncIterable<Buffer> {
  yield Buffer.from(body.slice(0, 1))
  await sleep(ms)
  yield Buffer.from(body.slice(1))
}

function drawFrom(draws: SoakDraws, {least, most}: Range): number {
  return least + (most - least) * draws.draw()
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
