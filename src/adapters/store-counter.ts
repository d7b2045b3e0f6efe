/**
 * Counts calls to the key-value service by caller, reason and outcome. Every call is paid
 * for, and when many fail, the total alone does not show which part of a box causes them.
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

/** Interval of log lines. A killed process loses at most the counts of one interval. */
const LOG_INTERVAL_MS = 5_000

export interface StoreCounterOptions {
  readonly kv: KvStore
  readonly log: Log
  readonly metrics: Metrics
}

export interface StoreCounter {
  /** The same service with its calls counted. */
  readonly kv: KvStore
  /** Logs the calls not logged yet. Called at the end of the process. */
  readonly stop: () => void
}

/** Counts calls in metrics, and logs the counts at intervals while calls are made. */
export function countStoreCalls(
  {kv, log, metrics}: StoreCounterOptions,
  intervalMs = LOG_INTERVAL_MS
): StoreCounter {
  const counts = new StoreCounts(metrics)
  // Totals since the start, so that a log line dropped under load loses no counts.
  const process = randomUUID().slice(0, 8)
  let loggedTotal = 0
  const logCounts = (): void => {
    if (counts.total === loggedTotal) return
    loggedTotal = counts.total
    const {transport = {}} = kv
    log("store-calls", {process, total: loggedTotal, calls: counts.read(), ...transport})
  }
  const timer = setInterval(logCounts, intervalMs)
  timer.unref()
  return {
    kv: new CountedStore(kv, counts, {}),
    stop: () => {
      clearInterval(timer)
      logCounts()
    }
  }
}

/**
 * Returns the service for calls by a part of the box, or `kv` if calls aren't counted.
 */
export function callAs(kv: KvStore, purpose: CallPurpose): KvStore {
  return kv.as?.(purpose) ?? kv
}

/** By how many times the service answers later than usual, 1 or more. */
export function slownessOf({slowness = 1}: KvStore): number {
  return slowness
}

class StoreCounts {
  total = 0
  private readonly counts_ = new Map<string, number>()
  /** Callers whose last finished call failed. */
  private readonly failing_ = new Set<StoreCaller>()

  constructor(private readonly metrics_: Metrics) {}

  /** Fills in missing parts of a purpose. Called as the call starts. */
  completePurpose({caller = "other", reason}: CallPurpose): Required<CallPurpose> {
    const fallback = this.failing_.has(caller) ? "after-failure" : "regular"
    return {caller, reason: reason ?? fallback}
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

/** Counts each call when it ends. */
class CountedStore implements KvStore {
  constructor(
    private readonly kv_: KvStore,
    private readonly counts_: StoreCounts,
    private readonly purpose_: CallPurpose
  ) {}

  get slowness(): number {
    return slownessOf(this.kv_)
  }

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

  /** Counts as one call, although the service may execute it in parts. */
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

  /** If `waitMs` is not given, no answer counts as late. */
  watch(
    prefix: string,
    after: StorePosition,
    onChange: (change: KvChange) => void,
    signal: AbortSignal,
    waitMs?: number
  ): Promise<StorePosition> {
    const call = (): Promise<StorePosition> =>
      this.kv_.watch(prefix, after, onChange, signal, waitMs)
    return this.count(call, waitMs ?? Infinity, signal)
  }

  private async count<T>(
    call: () => Promise<T>,
    waitMs = 0,
    signal?: AbortSignal
  ): Promise<T> {
    const purpose = this.counts_.completePurpose(this.purpose_)
    const sentAt = clockNow()
    try {
      const answer = await call()
      const late = clockNow() - sentAt > waitMs + LATE_ANSWER_MS
      this.counts_.add(purpose, late ? "late" : "ok")
      return answer
    } catch (cause) {
      this.counts_.add(purpose, outcomeOfFailure(cause, signal))
      throw cause
    }
  }
}

function outcomeOfFailure(cause: unknown, signal: AbortSignal | undefined): StoreOutcome {
  // A timeout aborts the signal, too, but then the service failed to answer in time.
  const timedOut = (signal?.reason as Error | undefined)?.name === "TimeoutError"
  if (signal?.aborted && !timedOut) return "given-up"
  if (cause instanceof KvRefused) return "refused"
  return cause instanceof KvUnavailable ? "unheard" : "failed"
}
