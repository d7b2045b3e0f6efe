/**
 * Load pattern in one process, without a network: prompts with one shared part crash every
 * server that begins to answer them, while sound prompts share their other parts. No two
 * requests are alike. The pattern counts how often prompts with the part reach servers
 * later than 3 s after its fifth crash, and how many sound requests begin and are refused.
 *
 * The figures come from an incident: 8 to 20 requests in progress at each server that
 * crashed, a crash some 100 to 500 ms after a server took the request, servers back after
 * 2 to 4 s. Prompts have a first part that opens all prompts of their route, most also one
 * of 20 parts of differing popularity, and a last part of their own.
 */
import type {RoutedEffect} from "../../src/core/serving-events.js"
import {softwareOf} from "../../src/core/service-versions.js"
import type {Route} from "../../src/types/fleet.js"
import {Agenda} from "./agenda.js"
import {
  CrashFleet,
  type CrashServer,
  type CutBoxes,
  drawGapMs,
  LINK_MS,
  RETRY_DELAY_MS,
  type SentAttempt,
  toFailedEvent,
  TRIES
} from "./crash-fleet.js"
import {drawFrom} from "./fleet.js"

export interface CrashingPartsOptions {
  readonly seed: number
  readonly boxes: number
  readonly servers: number
  /** Requests that a server runs at a time. Others wait there. */
  readonly slots: number
  readonly perSecond: number
  readonly seconds: number
  /** Number of parts that crash servers. */
  readonly guilty: number
  /** Arrivals per second of prompts with each guilty part. */
  readonly guiltyPerSecond: number
  /** Time from which the parts are guilty (ms). */
  readonly guiltyFromMs: number
  /** Time from which prompts with them arrive, sound ones at first. */
  readonly knownFromMs?: number
  /** Time from which the guilty parts are sound again. */
  readonly repairedAtMs?: number
  /** Routes, each with its own first part; prompts with a guilty part are of any. */
  readonly routes?: number
  /** Whether a guilty part stands alone between the first part and the request's own. */
  readonly standsAlone?: boolean
  /** Whether guilty prompts have a sound part that few sound prompts have. */
  readonly hasCompanion?: boolean
  /** Time after which callers of guilty prompts disconnect. Undefined if they do not. */
  readonly hangsUpMs?: number
  /** Parts that no other prompt has, in each sound prompt. */
  readonly madeUpParts?: number
  /**
   * Whether callers of guilty prompts take up their streams again, at any box, after the
   * last event that they received.
   */
  readonly resumes?: boolean
  /** Whether servers go on running requests whose connections were closed. */
  readonly runsClosed?: boolean
  /** Share of the requests that servers answer with an error in place of running them. */
  readonly failedShare?: number
  /** Whether requests may run once only, so that boxes pass on servers' errors. */
  readonly runsOnce?: boolean
  /**
   * Share of the crashes whose box receives the last bytes of the answer late, as after a
   * loss of packets.
   */
  readonly lateBytesShare?: number
  /** Sound prompts without any of the 20 parts, as a share of all. */
  readonly plainShare?: number
  /** Whether boxes prefer one engine for prompts with the same shared parts. */
  readonly prefersEngines?: boolean
  readonly resetsAt?: readonly number[]
  /** Times at which a third of the servers crash at once. */
  readonly powerLossesAt?: readonly number[]
  /** Times at which a third of the boxes restart. */
  readonly restartsAt?: readonly number[]
  /** Time at which all boxes restart, so that only the store knows the crashes. */
  readonly restartsAllAt?: number
  /** Whether the leader is killed after the second crash. */
  readonly losesLeader?: boolean
  /** Period without messages between boxes and their leader (ms). */
  readonly leaderAway?: readonly [from: number, to: number]
  /** Boxes whose requests are sent by others, as they reach no server. */
  readonly cut?: CutBoxes
}

export interface CrashingPartsResult {
  readonly crashes: number
  /**
   * Largest number of times that prompts with one guilty part reached servers more than
   * `CONTACT_MS` after its fifth crash.
   */
  readonly lateReaches: number
  /** Sound requests with the same first part: the shares that begin at the first attempt. */
  readonly begun: BegunShares
  /** Sound requests, with repeats by their callers. */
  readonly sound: number
  /** Number of sound requests that were refused as crashing. */
  readonly refused: number
  /** `refused` in the last quarter of the simulated time. */
  readonly refusedAtEnd: number
  /** Share of the sound prompts that got no complete answer in all tries. */
  readonly unserved: number
  /** Share of the prompts with repaired parts that begin, in the last quarter. */
  readonly repairedBegun: number
  /** Largest number of crash records in one box. */
  readonly records: number
  /** Largest number of entries that one box remembers of answers and ended sends. */
  readonly remembered: number
  /** Updates about crashes that boxes have sent. */
  readonly updates: number
  /** Characters of updates that the leader sends to each box, for each crash. */
  readonly charactersPerCrash: number
}

/** Of the guilty part after which the fewest begin, in proportion. */
export interface BegunShares {
  readonly before: number
  readonly after: number
  /** Number of requests counted before and after. */
  readonly counted: readonly [before: number, after: number]
}

/** Time within which a fifth crash must be known to all boxes. */
const CONTACT_MS = 3_000
const CRASHES_ALLOWED = 5

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "streaming",
  anonymous: false,
  resumable: true,
  timeoutMs: 8_000,
  targetMs: 1_000,
  patienceMs: 4_000,
  gapTargetMs: 400,
  priority: 1,
  maxAttempts: 4,
  services: [{service: "s", weight: 1}]
}
const MODEL = "base"
/** What boxes know of the begin of a stream. */
const ORIGIN = {service: "s", software: softwareOf({software: undefined})}
const MODELS = [{name: MODEL, adapters: new Map<string, number>()}]
const SHARED_PARTS = 20
const PLAIN_SHARE = 0.2
/** A sound part of all guilty prompts, and its share of the sound ones. */
const COMPANION = "part:c"
const COMPANION_SHARE = 0.05
const SHARED_TOKENS = 600
/** Interval at which the leader reports the load of engines to boxes. */
const LOADS_MS = 250
const TOKENS = 900
/** Sound requests that are sent earlier or later are not counted as begun. */
const COUNT_FROM_MS = 1_500
const COUNT_MARGIN_MS = 3_000
/** The run goes on until sound requests were counted for this time. */
const COUNTED_MS = 6_000
const MOST_SECONDS = 120
/** Interval of the events of a stream. */
const EVENT_MS = 400
/** Time until boxes learn that a server has started again. */
const MOST_LISTED_MS = 800
/** Delay of an answer's last bytes after a loss of packets. */
const LATE_BYTES_MS = 900

interface Prompt {
  readonly route: number
  /** Shared parts, in order. */
  readonly parts: readonly string[]
  /** The part that crashes servers. Undefined if the prompt is sound. */
  readonly guilty: string | undefined
  readonly fingerprint: string
}

interface Try {
  readonly prompt: Prompt
  readonly sentAt: number
  readonly triesLeft: number
  begun: boolean
}

/** Attempts at a server: running and waiting for a slot. */
interface Load {
  readonly running: Set<SentAttempt>
  readonly queue: SentAttempt[]
}

/** Simulates the pattern. */
export function simulateCrashingParts(
  options: CrashingPartsOptions
): CrashingPartsResult {
  return new CrashingParts(options).play()
}

class CrashingParts {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly fleet_: CrashFleet
  private readonly loads_: readonly Load[]
  private readonly tries_ = new Map<string, Try>()
  private readonly firstTries_: Try[] = []
  private readonly repairedTries_: Try[] = []
  private readonly crashedAt_ = new Map<string, number[]>()
  private readonly reachedAt_ = new Map<string, number[]>()
  private readonly weights_: readonly number[]
  private requests_ = 0
  private sound_ = 0
  private refused_ = 0
  private refusedAtEnd_ = 0
  private unserved_ = 0
  private remembered_ = 0
  private crashes_ = 0

  constructor(private readonly options_: CrashingPartsOptions) {
    const {boxes, servers, leaderAway, cut, seed} = options_
    this.draw_ = drawFrom(seed)
    this.loads_ = Array.from({length: servers}, () => ({running: new Set(), queue: []}))
    let sum = 0
    this.weights_ = Array.from({length: SHARED_PARTS}, (_, i) => (sum += 1 / (i + 1)))
    this.fleet_ = new CrashFleet({
      agenda: this.agenda_,
      draw: this.draw_,
      boxes,
      servers,
      models: MODELS,
      ...(leaderAway && {leaderAway}),
      ...(cut && {cut}),
      onDelivery: (sent, server, incarnation) => this.deliver(sent, server, incarnation),
      onEffect: (box, effect) => this.handleEffect(box, effect)
    })
  }

  play(): CrashingPartsResult {
    const {seconds, guilty, guiltyFromMs, knownFromMs = guiltyFromMs} = this.options_
    const {resetsAt = [], powerLossesAt = [], restartsAt = []} = this.options_
    this.fleet_.start()
    this.scheduleArrival()
    this.agenda_.schedule(knownFromMs, () => {
      for (let i = 0; i < guilty; i++) this.scheduleGuiltyArrival(`part:p${i}`)
    })
    for (const at of resetsAt) this.agenda_.schedule(at, () => this.resetAll())
    for (const at of powerLossesAt) this.agenda_.schedule(at, () => this.losePower())
    for (const at of restartsAt) this.agenda_.schedule(at, () => this.restartBoxes())
    this.scheduleRestartOfAll()
    this.measureMemory()
    if (this.prefersEngines) this.reportLoads()
    this.agenda_.runUntil(seconds * 1_000)
    while (!this.isCounted() && this.agenda_.now < MOST_SECONDS * 1_000) {
      this.agenda_.runUntil(this.agenda_.now + 1_000)
    }
    const begun = this.repairedTries_.filter(each => each.begun).length
    return {
      crashes: this.crashes_,
      lateReaches: Math.max(
        0,
        ...[...this.crashedAt_.keys()].map(part => this.countLateReaches(part))
      ),
      begun: this.findWorstShares(),
      sound: this.sound_,
      refused: this.refused_,
      refusedAtEnd: this.refusedAtEnd_,
      unserved: this.unserved_ / this.firstTries_.length,
      repairedBegun: begun / this.repairedTries_.length,
      records: this.fleet_.records,
      remembered: this.remembered_,
      updates: this.fleet_.updates,
      charactersPerCrash: this.fleet_.leaderCharacters / Math.max(1, this.crashes_)
    }
  }

  private get prefersEngines(): boolean {
    return this.options_.prefersEngines ?? true
  }

  /** Reports the engines and the prompts that wait there to boxes, as the leader does. */
  private reportLoads(): void {
    const {servers} = this.fleet_
    const order = servers.map(server => this.fleet_.incarnationOf(server))
    const engines = order.map(engine => ({engine, models: [MODEL], places: []}))
    const hundreds = this.loads_.map(({running, queue}) => {
      const begun = [...running].filter(({id}) => this.tries_.get(id)?.begun)
      return ((running.size - begun.length + queue.length) * TOKENS) / 100
    })
    for (let box = 0; box < this.options_.boxes; box++) {
      this.fleet_.step(box, {type: "engines", engines})
      this.fleet_.step(box, {type: "loads", loads: {order, hundreds}})
    }
    this.agenda_.schedule(LOADS_MS, () => this.reportLoads())
  }

  /** Whether sound requests were counted for long enough after the crashes. */
  private isCounted(): boolean {
    const countedFrom = Math.max(
      ...[...this.crashedAt_.values()].map(crashes => countedFromMs(crashes))
    )
    return this.agenda_.now >= countedFrom + COUNTED_MS + COUNT_MARGIN_MS
  }

  private scheduleArrival(): void {
    const {perSecond, madeUpParts = 0, plainShare = PLAIN_SHARE} = this.options_
    const {hasCompanion} = this.options_
    this.agenda_.schedule(drawGapMs(this.draw_, perSecond), () => {
      const route = this.drawRoute()
      const shared = this.draw_() < plainShare ? [] : [this.drawSharedPart()]
      if (hasCompanion && this.draw_() < COMPANION_SHARE) shared.push(COMPANION)
      const own = `own-${this.requests_}`
      const madeUp = Array.from({length: madeUpParts}, (_, i) => `part:${own}-${i}`)
      const parts = [firstPartOf(route), ...shared, ...madeUp]
      this.send({route, parts, guilty: undefined, fingerprint: own}, TRIES)
      this.scheduleArrival()
    })
  }

  private scheduleGuiltyArrival(part: string): void {
    this.agenda_.schedule(drawGapMs(this.draw_, this.options_.guiltyPerSecond), () => {
      const route = this.drawRoute()
      const {standsAlone, hasCompanion} = this.options_
      const isAlone = standsAlone || this.draw_() < 0.5
      const shared = isAlone ? [] : [this.drawSharedPart()]
      if (hasCompanion) shared.push(COMPANION)
      const parts = [firstPartOf(route), ...shared, part]
      const fingerprint = `own-${this.requests_}`
      const tries = this.options_.resumes ? TRIES : 1
      this.send({route, parts, guilty: part, fingerprint}, tries)
      this.scheduleGuiltyArrival(part)
    })
  }

  private drawRoute(): number {
    return Math.floor(this.draw_() * (this.options_.routes ?? 1))
  }

  private drawSharedPart(): string {
    const target = this.draw_() * (this.weights_.at(-1) ?? 0)
    return `part:b${this.weights_.findIndex(sum => sum > target)}`
  }

  private send(prompt: Prompt, triesLeft: number, hasBegun = false): void {
    const {now} = this.agenda_
    const id = `q${this.requests_++}`
    const one = {prompt, sentAt: now, triesLeft, begun: false}
    this.tries_.set(id, one)
    this.countSend(one)
    const box = Math.floor(this.draw_() * this.options_.boxes)
    if (!this.fleet_.isUp(box)) return this.endTry(id)
    const {hangsUpMs} = this.options_
    if (prompt.guilty !== undefined && hangsUpMs !== undefined) {
      this.fleet_.tell(box, {type: "hang-up", id}, hangsUpMs)
    }
    this.fleet_.step(box, {
      type: "arrive",
      arrival: {
        id,
        name: id,
        fingerprint: prompt.fingerprint,
        parts: prompt.parts,
        route: {
          ...ROUTE,
          name: `r${prompt.route}`,
          resumable: !this.options_.runsOnce
        },
        service: "s",
        weights: {model: MODEL},
        tokens: TOKENS,
        rank: ROUTE.priority,
        ...(this.prefersEngines && {
          prefix: {key: prompt.parts.join(), tokens: SHARED_TOKENS}
        }),
        deadlineMs: ROUTE.timeoutMs,
        ...(hasBegun && {lastEventId: "1", begunBy: id})
      }
    })
  }

  private countSend(one: Try): void {
    const {prompt, triesLeft, sentAt} = one
    if (prompt.guilty !== undefined) {
      const isAtEnd = sentAt > 750 * this.options_.seconds
      if (isAtEnd && !this.isGuilty(prompt)) this.repairedTries_.push(one)
      return
    }
    this.sound_++
    if (triesLeft === TRIES) this.firstTries_.push(one)
  }

  private isGuilty({guilty}: Prompt): boolean {
    const {guiltyFromMs, repairedAtMs = Infinity} = this.options_
    const {now} = this.agenda_
    return guilty !== undefined && now >= guiltyFromMs && now < repairedAtMs
  }

  private deliver(sent: SentAttempt, server: CrashServer, incarnation: string): void {
    const {box, id, attempt} = sent
    if (!server.up) return this.fleet_.fail(sent, "not-sent")
    const {prompt} = this.tries_.get(id) as Try
    if (this.isGuilty(prompt)) this.recordReach(prompt)
    this.fleet_.step(box, {type: "started", id, attempt})
    if (incarnation !== this.fleet_.incarnationOf(server)) {
      return this.agenda_.schedule(LINK_MS, () => this.fleet_.fail(sent, "misplaced"))
    }
    this.loadOf(server).queue.push(sent)
    this.startNext(server)
  }

  private recordReach({guilty = ""}: Prompt): void {
    const reached = this.reachedAt_.get(guilty) ?? []
    this.reachedAt_.set(guilty, [...reached, this.agenda_.now])
  }

  private startNext(server: CrashServer): void {
    const {running, queue} = this.loadOf(server)
    if (running.size >= this.options_.slots) return
    const sent = queue.shift()
    if (!sent) return
    running.add(sent)
    const firstMs = 100 + 400 * this.draw_()
    const restMs = 200 + 2_500 * this.draw_()
    this.agenda_.schedule(firstMs, () => {
      if (running.has(sent)) this.beginAnswer(server, sent, restMs)
    })
  }

  private beginAnswer(server: CrashServer, sent: SentAttempt, restMs: number): void {
    const {prompt} = this.tries_.get(sent.id) as Try
    const {failedShare = 0, lateBytesShare = 0} = this.options_
    if (failedShare > 0 && this.draw_() < failedShare) {
      return this.answerWithError(server, sent)
    }
    if (!this.isGuilty(prompt)) {
      this.answer(sent)
      return this.continueAnswer(server, sent, restMs)
    }
    if (lateBytesShare > 0 && this.draw_() < lateBytesShare) {
      this.answerLate(server, sent)
    } else if (this.draw_() < 0.5) this.answer(sent)
    const crashes = this.crashedAt_.get(prompt.guilty ?? "") ?? []
    this.crashedAt_.set(prompt.guilty ?? "", [...crashes, this.agenda_.now])
    this.crash(server)
    if (this.crashes_ === 2 && this.options_.losesLeader) this.fleet_.loseLeader()
  }

  /** Posts the head and the first event of an answer, as a box does. */
  private answer({box, id, attempt}: SentAttempt): void {
    const one = this.tries_.get(id)
    this.fleet_.tell(box, {type: "heard", id, attempt})
    const head = {failed: false, streamed: true}
    this.fleet_.tell(box, {type: "head", id, attempt, head})
    this.fleet_.tell(box, {type: "stream-began", id, attempt})
    if (one) one.begun = true
  }

  private answerWithError(server: CrashServer, sent: SentAttempt): void {
    const {box, id, attempt} = sent
    this.loadOf(server).running.delete(sent)
    const head = {failed: true, streamed: false}
    this.fleet_.tell(box, {type: "head", id, attempt, head})
    this.fleet_.tell(box, {type: "done", id, attempt, events: 0})
    this.startNext(server)
  }

  /** Posts the begin of an answer whose last bytes and end arrive late. */
  private answerLate(server: CrashServer, sent: SentAttempt): void {
    const {box, id, attempt} = sent
    this.loadOf(server).running.delete(sent)
    this.answer(sent)
    this.agenda_.schedule(LATE_BYTES_MS, () => {
      this.fleet_.tell(box, {type: "heard", id, attempt})
      this.agenda_.schedule(LINK_MS, () => this.fleet_.fail(sent, "broken"))
    })
  }

  /** Posts the events of a stream, as a box does, until it ends. */
  private continueAnswer(server: CrashServer, sent: SentAttempt, restMs: number): void {
    const {running} = this.loadOf(server)
    const {box, id, attempt} = sent
    this.agenda_.schedule(Math.min(restMs, EVENT_MS), () => {
      if (!running.has(sent)) return
      if (restMs > EVENT_MS) {
        this.fleet_.tell(box, {type: "heard", id, attempt})
        return this.continueAnswer(server, sent, restMs - EVENT_MS)
      }
      running.delete(sent)
      this.fleet_.endCarried(sent, "answered")
      this.fleet_.tell(box, {type: "done", id, attempt, events: 5})
      this.startNext(server)
    })
  }

  private crash(server: CrashServer): void {
    this.crashes_++
    server.up = false
    this.breakAll(server)
    this.agenda_.schedule(2_000 + 2_000 * this.draw_(), () => {
      server.up = true
      server.incarnation++
      for (let box = 0; box < this.options_.boxes; box++) {
        this.agenda_.schedule(MOST_LISTED_MS * this.draw_(), () =>
          this.fleet_.listServer(box, server)
        )
      }
    })
  }

  private losePower(): void {
    for (const server of this.fleet_.servers) {
      if (server.index % 3 === 0 && server.up) this.crash(server)
    }
  }

  private resetAll(): void {
    for (const server of this.fleet_.servers) this.breakAll(server)
  }

  private breakAll(server: CrashServer): void {
    const {running, queue} = this.loadOf(server)
    const interrupted = [...running, ...queue]
    running.clear()
    queue.splice(0)
    for (const sent of interrupted) {
      this.fleet_.endCarried(sent, "broken")
      this.fleet_.tell(sent.box, toFailedEvent(sent, "broken"))
    }
  }

  private restartBoxes(): void {
    for (let box = 1; box < this.options_.boxes; box += 3) {
      this.fleet_.restartBox(box)
    }
  }

  private scheduleRestartOfAll(): void {
    const {restartsAllAt, boxes} = this.options_
    if (restartsAllAt === undefined) return
    this.agenda_.schedule(restartsAllAt, () => {
      this.fleet_.loseLeader()
      for (let box = 1; box < boxes; box++) this.fleet_.restartBox(box)
    })
  }

  private loadOf({index}: CrashServer): Load {
    return this.loads_[index] as Load
  }

  private handleEffect(box: number, effect: RoutedEffect): void {
    switch (effect.type) {
      case "abort":
        return this.closeConnection({box, id: effect.id, attempt: effect.attempt})
      case "end":
        if (effect.reason === "crashes-servers") this.countRefusal(effect.id)
        return this.endTry(effect.id)
      case "cut":
        return this.endTry(effect.id)
      case "ask-origin":
        return this.fleet_.tell(box, {
          type: "origin-answer",
          id: effect.id,
          answer: {origin: ORIGIN, recent: [], observedMs: 0}
        })
      default:
        return
    }
  }

  /** Ends an attempt whose connection the box closes. */
  private closeConnection({box, id, attempt}: SentAttempt): void {
    if (this.options_.runsClosed) return
    this.agenda_.schedule(LINK_MS, () => {
      for (const server of this.fleet_.servers) {
        const {running, queue} = this.loadOf(server)
        const isClosed = (each: SentAttempt): boolean =>
          each.box === box && each.id === id && each.attempt === attempt
        const [waiting, closed] = [queue.findIndex(isClosed), [...running].find(isClosed)]
        const [left] = waiting >= 0 ? queue.splice(waiting, 1) : [closed]
        if (left) this.fleet_.endCarried(left, "closed")
        if (closed && running.delete(closed)) this.startNext(server)
      }
    })
  }

  private countRefusal(id: string): void {
    if (this.tries_.get(id)?.prompt.guilty !== undefined) return
    this.refused_++
    if (this.agenda_.now > 750 * this.options_.seconds) this.refusedAtEnd_++
  }

  /** Has the caller of a sound prompt try again. */
  private endTry(id: string): void {
    const {prompt, triesLeft, begun} = this.tries_.get(id) as Try
    const isSound = prompt.guilty === undefined
    if (triesLeft === 1) {
      if (isSound) this.unserved_++
      return
    }
    const hasBegun = begun && !isSound
    this.agenda_.schedule(RETRY_DELAY_MS, () =>
      this.send(prompt, triesLeft - 1, hasBegun)
    )
  }

  private countLateReaches(part: string): number {
    const fifth = this.crashedAt_.get(part)?.[CRASHES_ALLOWED - 1]
    if (fifth === undefined) return 0
    const reached = this.reachedAt_.get(part) ?? []
    return reached.filter(at => at > fifth + CONTACT_MS).length
  }

  /** Compares, for each guilty part and route, the requests before and after its crashes. */
  private findWorstShares(): BegunShares {
    const shares = [...this.crashedAt_.values()].flatMap(crashes =>
      Array.from({length: this.options_.routes ?? 1}, (_, route) =>
        this.shareBegun(route, countedFromMs(crashes))
      )
    )
    const ratioOf = ({before, after}: BegunShares): number => after / before
    shares.sort((a, b) => ratioOf(a) - ratioOf(b))
    return shares[0] ?? this.shareBegun(0, this.options_.guiltyFromMs)
  }

  private shareBegun(route: number, afterMs: number): BegunShares {
    const {guiltyFromMs, powerLossesAt = [], resetsAt = []} = this.options_
    const beforeMs = Math.min(guiltyFromMs, ...powerLossesAt, ...resetsAt)
    const endMs = this.agenda_.now - COUNT_MARGIN_MS
    const sent = this.firstTries_.filter(each => each.prompt.route === route)
    const isBefore = ({sentAt}: Try): boolean =>
      sentAt > COUNT_FROM_MS && sentAt < beforeMs - COUNT_MARGIN_MS
    const isAfter = ({sentAt}: Try): boolean => sentAt > afterMs && sentAt < endMs
    const [before, after] = [sent.filter(isBefore), sent.filter(isAfter)]
    return {
      before: shareOfBegun(before),
      after: shareOfBegun(after),
      counted: [before.length, after.length]
    }
  }

  private measureMemory(): void {
    this.agenda_.schedule(1_000, () => {
      for (const {serving} of this.fleet_.boxes) {
        const entries = countEntries(serving.clearedRequests)
        this.remembered_ = Math.max(
          this.remembered_,
          entries + countEntries(serving.crashWatch)
        )
      }
      this.measureMemory()
    })
  }
}

/** When sound requests must begin again: some time after the fifth crash, or the last. */
function countedFromMs(crashes: readonly number[]): number {
  const last = crashes[Math.min(CRASHES_ALLOWED, crashes.length) - 1] as number
  return last + 2 * CONTACT_MS
}

function firstPartOf(route: number): string {
  return `part:a${route}`
}

function shareOfBegun(tries: readonly Try[]): number {
  return tries.filter(each => each.begun).length / tries.length
}

/** Counts the entries of all collections of an object. */
function countEntries(holder: object): number {
  let entries = 0
  for (const value of Object.values(holder) as unknown[]) {
    if (value instanceof Map || value instanceof Set) entries += value.size
    else if (Array.isArray(value)) entries += value.length
  }
  return entries
}
