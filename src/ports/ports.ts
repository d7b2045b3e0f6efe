/** Interfaces to external services and the clock. Adapters and fakes implement them. */
import type {CallPurpose} from "../types/store-calls.js"
import type {StorePosition} from "../types/store-position.js"

/**
 * A key with its value and the position of its last change. Each change of any key
 * increases the revision.
 */
export interface KvEntry extends StorePosition {
  readonly key: string
  readonly value: string
}

/** A page of a list, with the position of the service at the time of the read. */
export interface KvPage extends StorePosition {
  readonly entries: readonly KvEntry[]
  /** Whether there is another page. */
  readonly more?: boolean
}

/** Result of a conditional change. */
export type KvPutResult =
  | ({readonly ok: true} & StorePosition)
  | {readonly ok: false; readonly current: KvEntry | undefined}

export interface KvPutOptions {
  /** Writes only if the key has this revision. 0 means that it must not exist. */
  readonly expectRevision?: number
  /**
   * Era of that revision; in another era the change fails. Undefined if the service
   * reports no eras.
   */
  readonly expectEra?: number | undefined
  /** The service removes the key when this lease ends. */
  readonly lease?: string
}

/** A change received by a watch. */
export interface KvChange extends StorePosition {
  readonly key: string
  /** Undefined if the key was removed. */
  readonly value?: string
}

/** What a client observed of its connections to the service since it was created. */
export interface KvTransport {
  /** Connections opened. */
  readonly connections: number
  /** Calls whose answer was late. */
  readonly lateCalls: number
  /** Those of them whose own timer was late: this process had no processor. */
  readonly starvedCalls: number
}

/**
 * The platform's key-value service. Calls reject with `KvUnavailable` if they certainly
 * had no effect, and with `KvUnknown` if they may have had one.
 */
export interface KvStore {
  /** `stale` allows a cheaper read, possibly seconds old, if the service has one. */
  get(key: string, stale?: boolean): Promise<KvEntry | undefined>
  /** Lists the keys with the prefix, starting after the key `after`. */
  list(prefix: string, after?: string): Promise<KvPage>
  put(key: string, value: string, options?: KvPutOptions): Promise<KvPutResult>
  remove(key: string): Promise<void>
  /** Removes the keys from `from` (inclusive) to `to` (exclusive). */
  removeRange(from: string, to: string): Promise<void>
  grantLease(ttlMs: number): Promise<string>
  /**
   * Returns false if the lease does not exist, or if the service was restored from an
   * older backup after granting it.
   */
  keepAlive(lease: string): Promise<boolean>
  revokeLease(lease: string): Promise<void>
  /**
   * Waits in one call for changes after a position. Resolves at the end of the call to
   * the position to continue from, and rejects if the service is in another era.
   *
   * @param maxWaitMs - How long the call may wait, if the service supports it.
   */
  watch(
    prefix: string,
    after: StorePosition,
    onChange: (change: KvChange) => void,
    signal: AbortSignal,
    maxWaitMs?: number
  ): Promise<StorePosition>
  /** Returns a client that counts its calls for this purpose. Undefined if none does. */
  as?(purpose: CallPurpose): KvStore
  /** Undefined if the client does not observe its connections. */
  readonly transport?: KvTransport
  /**
   * By how many times answers take longer than usual, 1 or more. Undefined if the client
   * does not observe it.
   */
  readonly slowness?: number
}

/** The platform's list of boxes and backend servers, which may be out of date. */
export interface BoxList {
  /** Returns the names of the backend servers that are leaving. */
  leaving(): Promise<ReadonlySet<string>>
}

/** The platform's weight store, from which engines load adapters. */
export interface WeightStore {
  exists(weights: string): Promise<boolean>
}

/** Returns the time of the process's monotonic clock (ms). */
export type Clock = () => number
