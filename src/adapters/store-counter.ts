/**
 * Counts calls to the key-value service by who makes them, why, and how they end: every call is paid
 * for, and on days with many failures the sum alone does not tell which part of a box to look at.
 */
import {randomUUID} from "node:crypto"
import {LATE_ANSWER_MS} from "../core/snapshot-age.js"
import {KvRefused, KvUnavailable} from "../errors.js"
import type {
  KvChange,
  KvEntry,
  KvPutOptions,
  KvPutResult,
  KvStore
} from "../ports/ports.js"
import type {CallPurpose, StoreCaller, StoreOutcome} from "../types/store-calls.js"
import type {StorePosition} from "../types/store-position.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"
import type {Metrics} from "./metrics.js"

/** Between two lines of the log, milliseconds: what a process that is killed leaves untold at most. */
const TELL_MS = 5_000

export interface StoreCounterOptions {
  readonly kv: KvStore
  readonly log: Log
  readonly metrics: Metrics
}

export interface StoreCounter {
  /** The same service, counted. */
  readonly kv: KvStore
  /** Tells what is not told yet, for the end of the process. */
  readonly stop: () => void
}

/** Counts in metrics, and tells in the log from time to time while calls are made. */
export function countStoreCalls(
  {kv, log, metrics}: StoreCounterOptions,
  everyMs = TELL_MS
): StoreCounter {
  const counts = new StoreCounts(metrics)
  // Sums since the start, so that a line that is left out under load takes nothing with it.
  const process = randomUUID().slice(0, 8)
  let told = 0
  const tell = (): void => {
    if (counts.total === told) return
    told = counts.total
    log("store-calls", {process, total: told, calls: counts.read()})
  }
  const timer = setInterval(tell, everyMs)
  timer.unref()
  return {
    kv: new CountedStore(kv, counts, {}),
    stop: () => {
      clearInterval(timer)
      tell()
    }
  }
}

/** The service in the name of a part of the box, where calls are counted; else as it is. */
export function callAs(kv: KvStore, purpose: CallPurpose): KvStore {
  return kv.as?.(purpose) ?? kv
}

class StoreCounts {
  total = 0
  private readonly counts_ = new Map<string, number>()
  /** Callers whose last call that ended failed. */
  private readonly failing_ = new Set<StoreCaller>()

  constructor(private readonly metrics_: Metrics) {}

  /** Fills in what a purpose leaves out; to be asked when the call is made. */
  complete({caller = "other", reason}: CallPurpose): Required<CallPurpose> {
    const usual = this.failing_.has(caller) ? "after-failure" : "regular"
    return {caller, reason: reason ?? usual}
  }

  add({caller, reason}: Required<CallPurpose>, outcome: StoreOutcome): void {
    const key = `${caller} ${reason} ${outcome}`
    this.total++
    this.counts_.set(key, (this.counts_.get(key) ?? 0) + 1)
    this.metrics_.count("sedge_store_calls_total", {caller, reason, outcome})
    if (outcome === "ok" || outcome === "late") this.failing_.delete(caller)
    else if (outcome !== "given-up") this.failing_.add(caller)
  }

  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts_)
  }
}

/** Counts what ends; a call that is open is in no count yet. */
class CountedStore implements KvStore {
  constructor(
    private readonly kv_: KvStore,
    private readonly counts_: StoreCounts,
    private readonly purpose_: CallPurpose
  ) {}

  as(purpose: CallPurpose): KvStore {
    return new CountedStore(this.kv_, this.counts_, {...this.purpose_, ...purpose})
  }

  get(key: string, stale?: boolean): Promise<KvEntry | undefined> {
    return this.count(() => this.kv_.get(key, stale))
  }

  list(prefix: string, after?: string): ReturnType<KvStore["list"]> {
    return this.count(() => this.kv_.list(prefix, after))
  }

  put(key: string, value: string, options?: KvPutOptions): Promise<KvPutResult> {
    return this.count(() => this.kv_.put(key, value, options))
  }

  remove(key: string): Promise<void> {
    return this.count(() => this.kv_.remove(key))
  }

  /** Counts once, though the service may take it in parts. */
  removeRange(from: string, to: string): Promise<void> {
    return this.count(() => this.kv_.removeRange(from, to))
  }

  grantLease(ttlMs: number): Promise<string> {
    return this.count(() => this.kv_.grantLease(ttlMs))
  }

  keepAlive(lease: string): Promise<boolean> {
    return this.count(() => this.kv_.keepAlive(lease))
  }

  revokeLease(lease: string): Promise<void> {
    return this.count(() => this.kv_.revokeLease(lease))
  }

  /** It may wait: where its time is not known here, no answer is late. */
  watch(
    prefix: string,
    after: StorePosition,
    take: (change: KvChange) => void,
    signal: AbortSignal,
    waitMs?: number
  ): Promise<StorePosition> {
    const call = (): Promise<StorePosition> =>
      this.kv_.watch(prefix, after, take, signal, waitMs)
    return this.count(call, waitMs ?? Infinity, signal)
  }

  private async count<T>(
    call: () => Promise<T>,
    waitMs = 0,
    signal?: AbortSignal
  ): Promise<T> {
    const purpose = this.counts_.complete(this.purpose_)
    const sentAt = clockNow()
    try {
      const answer = await call()
      const late = clockNow() - sentAt > waitMs + LATE_ANSWER_MS
      this.counts_.add(purpose, late ? "late" : "ok")
      return answer
    } catch (cause) {
      this.counts_.add(purpose, judgeFailure(cause, signal))
      throw cause
    }
  }
}

function judgeFailure(cause: unknown, signal: AbortSignal | undefined): StoreOutcome {
  // A limit of time aborts, too: then the service has not answered.
  const limited = (signal?.reason as Error | undefined)?.name === "TimeoutError"
  if (signal?.aborted && !limited) return "given-up"
  if (cause instanceof KvRefused) return "refused"
  return cause instanceof KvUnavailable ? "unheard" : "failed"
}
