/** The few interfaces between the core and the world. Adapters implement them; fakes can too. */
import type {CallPurpose} from "../types/store-calls.js"
import type {StorePosition} from "../types/store-position.js"

/** A key of the key-value service, at its last change. Revisions grow with every change of any key. */
export interface KvEntry extends StorePosition {
  readonly key: string
  readonly value: string
}

/** A page of a list, and the position of the service as it was read. */
export interface KvPage extends StorePosition {
  readonly entries: readonly KvEntry[]
  /** There is another page. */
  readonly more?: boolean
}

/** The answer to a conditional change. */
export type KvPutResult =
  | ({readonly ok: true} & StorePosition)
  | {readonly ok: false; readonly current: KvEntry | undefined}

export interface KvPutOptions {
  /** Only if the key has this revision; 0: only if it does not exist. */
  readonly expectRevision?: number
  /** The era of that revision, where the service tells eras: in another the change fails. */
  readonly expectEra?: number | undefined
  /** The key goes when this lease does. */
  readonly lease?: string
}

/** A change seen by a watch; without a value the key was deleted. */
export interface KvChange extends StorePosition {
  readonly key: string
  readonly value?: string
}

/**
 * The platform's key-value service. Every call rejects with `KvUnavailable` when it certainly
 * had no effect, and with `KvUnknown` when it may have had one.
 */
export interface KvStore {
  /** `stale`: a cheaper read that may be seconds old, where the service has such. */
  get(key: string, stale?: boolean): Promise<KvEntry | undefined>
  /** All keys with the prefix, from `after` (exclusive) on, and the service's position. */
  list(prefix: string, after?: string): Promise<KvPage>
  put(key: string, value: string, options?: KvPutOptions): Promise<KvPutResult>
  remove(key: string): Promise<void>
  /** Removes the keys from `from` up to, but not with, `to`. */
  removeRange(from: string, to: string): Promise<void>
  grantLease(ttlMs: number): Promise<string>
  /** False when the service does not know the lease (any more), or came back from a copy since it was granted. */
  keepAlive(lease: string): Promise<boolean>
  revokeLease(lease: string): Promise<void>
  /**
   * Changes after a position, in one waiting call; resolves when the call is over, with the position to go on
   * from, and rejects where the service is in another era. `waitMs`: how long the call waits at most, where
   * the service takes that.
   */
  watch(
    prefix: string,
    after: StorePosition,
    take: (change: KvChange) => void,
    signal: AbortSignal,
    waitMs?: number
  ): Promise<StorePosition>
  /** The same service for calls of one caller and reason, where they are counted. */
  as?(purpose: CallPurpose): KvStore
}

/** The platform's list of boxes and backend servers, as it last said. It lags. */
export interface BoxList {
  /** Names of the backend servers that are leaving. */
  leaving(): Promise<ReadonlySet<string>>
}

/** The platform's weight store, which engines load from. */
export interface WeightStore {
  exists(weights: string): Promise<boolean>
}

/** The monotonic clock of a process, milliseconds. */
export type Clock = () => number
