/** Records what all stand-in workers observed, to be judged after a test. */
import {AdvertisedRates} from "./advertised-rates.js"
import {CrashingParts} from "./crashing-parts.js"
import type {WrittenAnswer} from "./answer-copies.js"

/** One execution of a request on a worker. */
export interface Run {
  readonly id: string
  readonly worker: string
  readonly adapter: string
  readonly version: number
  /** Version of the worker's software. Undefined if not recorded. */
  readonly software?: string
  /** The `last-event-id` of a resuming request, or empty. */
  readonly from: string
  /** When the request reached the worker. */
  readonly reached: number
  /** When it began to run. Later than `reached` if it waited in the queue. */
  readonly at: number
  /** The tenant named by the box. Undefined if it named none. */
  readonly tenant?: string
  /** Tokens reported by the request. Undefined if it reported none. */
  readonly tokens?: number
  /** Whether any part of its answer was sent. Recorded for streams only. */
  hasAnswered?: boolean
  ended: "whole" | "cut" | undefined
  /** When its stream ended. Undefined before, and for other answers. */
  endedAt?: number
  /** Whether its connection was closed while its worker would have gone on. */
  isClosedByPeer?: boolean
}

/** An order received by an engine. */
export interface ReceivedOrder {
  readonly worker: string
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/** A request that arrived at a worker, whether or not it ran there. */
export interface ArrivedRequest {
  readonly id: string
  readonly worker: string
  readonly body: string
  readonly at: number
}

/** A crash of a worker while it ran a request. */
export interface Crash {
  readonly worker: string
  /** Body of the request. */
  readonly body: string
  readonly at: number
}

/** An answer that a worker broke off. */
export interface BrokenAnswer {
  readonly id: string
  readonly worker: string
  readonly where: string
  readonly how: string
}

/** A worker refused a request and asked its sender to back off. */
export interface BackOff {
  readonly id: string
  readonly worker: string
  readonly seconds: number
  readonly at: number
}

/** An answer of a worker announced that the worker leaves. */
export interface LeavingNotice {
  readonly id: string
  readonly worker: string
  readonly at: number
}

/** A copy of an answer that a worker sent where a later answer was due. */
export interface RepeatedAnswer extends WrittenAnswer {
  readonly worker: string
  /** Id of the request whose answer was due. Empty if it has none. */
  readonly dueTo: string
}

export class Judge {
  readonly repeats: RepeatedAnswer[] = []
  readonly runs: Run[] = []
  readonly arrivedRequests: ArrivedRequest[] = []
  readonly crashes: Crash[] = []
  readonly backOffs: BackOff[] = []
  readonly breakOffs: BrokenAnswer[] = []
  /** Starts of new incarnations, to which notices of the former ones don't apply. */
  readonly restarts: {readonly worker: string; readonly at: number}[] = []
  readonly leavingNotices: LeavingNotice[] = []
  readonly rates = new AdvertisedRates()
  readonly parts = new CrashingParts()
  readonly orders: ReceivedOrder[] = []
  readonly violations: string[] = []
  /** Unloads ordered while requests ran. Harmless because they wait, but useless. */
  unloadsInUse = 0
  private readonly fences_ = new Map<string, {fence: number; holder: string}>()

  /** `runAdded` is told each run as it begins. */
  constructor(private readonly runAdded_: (run: Run) => void = () => undefined) {}

  addRun(run: Run): void {
    this.runs.push(run)
    this.runAdded_(run)
  }

  recordOrder(worker: string, holder: string, fence: number): void {
    this.orders.push({worker, holder, fence, at: performance.now()})
    const known = this.fences_.get(worker)
    if (known && known.fence === fence && known.holder !== holder) {
      this.violations.push(`${worker}: two holders share fence ${fence}`)
    }
    if (!known || fence >= known.fence) this.fences_.set(worker, {fence, holder})
  }

  runsOf(id: string): Run[] {
    return this.runs.filter(run => run.id === id)
  }
}
