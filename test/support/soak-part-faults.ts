/**
 * Shared parts of prompts that crash the engines that answer requests with them, in a round
 * of the soak: one or two parts, also as the leader is killed. They are drawn from random
 * series of their own, so that the other faults of a seed stay the same.
 */
import type {PartCrashMoment} from "../stand-ins/crashing-parts.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import {promptOf} from "./prompt-callers.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the begin of the round, or of the part before, until a part is guilty. */
const START_MS = {least: 2_500, most: 4_000}

/** Interval between requests with a guilty part. */
const INTERVAL_MS = {least: 80, most: 250}

const MAX_PARTS = 2

/** Crashes after which the leader may be killed. */
const CRASHES_BEFORE_KILL = 2

const MOMENTS: readonly PartCrashMoment[] = ["before-head", "in-stream"]

/** Routes of the requests with guilty parts. */
const PATHS = ["/stream/x", "/once/x"] as const

interface Range {
  readonly least: number
  readonly most: number
}

export interface PartFaultActions {
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
  /** A key that isn't revoked. Undefined if callers need no keys. */
  readonly validKey: () => string | undefined
}

export class PartFaults {
  private readonly calls_: Promise<void>[] = []
  private nextCall_ = 0

  /** The requests have draws of their own, as their number depends on the machine. */
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly callDraws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: PartFaultActions
  ) {}

  /**
   * Lets parts crash engines until faults have ended. Resolves when all callers have a
   * response.
   */
  async play(): Promise<void> {
    const count = 1 + Math.floor(MAX_PARTS * this.draws_.draw())
    const callers: Promise<void>[] = []
    for (let number = 1; number <= count; number++) {
      const startMs = this.drawFrom(START_MS)
      const intervalMs = this.drawFrom(INTERVAL_MS)
      const moment = this.draws_.pick(MOMENTS)
      const killsLeader = this.draws_.draw() < 0.5
      await this.pauseFor(startMs)
      if (this.actions_.haveFaultsEnded()) break
      const part = `bad0000${number}`
      this.note("part-crashes")
      this.bed_.judge.parts.spoil(part, moment)
      callers.push(this.sendGuilty(part, intervalMs))
      if (killsLeader) callers.push(this.killLeader(part))
    }
    await Promise.all(callers)
    await Promise.all(this.calls_)
  }

  private async sendGuilty(part: string, intervalMs: number): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      this.calls_.push(this.callOnce(part))
      await pause(intervalMs)
    }
  }

  private async callOnce(part: string): Promise<void> {
    const number = ++this.nextCall_
    const path = this.callDraws_.pick(PATHS)
    const box = this.callDraws_.pick(this.bed_.boxes)
    const adapter = `a${Math.floor(3 * this.callDraws_.draw())}`
    const key = this.actions_.validKey()
    const {parts, header} = promptOf(number, part)
    const sentAt = performance.now()
    const outcome = await this.bed_.call(box, path, {
      adapter,
      // Requests with the same body are the same request to boxes.
      body: JSON.stringify({guilty: number}),
      headers: {"x-prompt-prefix": header},
      ...(key === undefined ? {} : {key})
    })
    this.record_.crashing.push({path, box: box.name, outcome, sentAt, parts})
  }

  private async killLeader(part: string): Promise<void> {
    const {crashes} = this.bed_.judge.parts
    const under = (): number => crashes.filter(crash => crash.part === part).length
    while (under() < CRASHES_BEFORE_KILL) {
      if (this.actions_.haveFaultsEnded()) return
      await pause(20)
    }
    const leader = this.bed_.leader()
    if (!leader || this.actions_.haveFaultsEnded()) return
    this.note("kill-leader-after-part-crashes")
    await this.actions_.restart(leader, "SIGKILL")
  }

  private note(name: string): void {
    this.record_.faults.push({name, at: performance.now()})
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(ms: number): Promise<void> {
    const end = performance.now() + ms
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) await pause(50)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
