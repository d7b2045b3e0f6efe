/** The state, events and effects of an entry: the process that callers connect to. */
import type {Configuration, RequestClass} from "../types/config.js"
import type {EntryMessage, KeeperMessage, Settle} from "../types/messages.js"
import type {ErrorCode} from "../errors.js"
import type {RandomGenerator} from "pure-rand"
import type {ShareRecord} from "./ownership.js"
import type {Timing} from "./timing.js"

export interface EntryOptions {
  readonly self: string
  readonly dataCentre: string
  readonly timing: Timing
  readonly registerShards: number
  /** Limit of requests in progress on the box. */
  readonly maxInProgress: number
  /** Longest wait for an engine, by request class. */
  readonly patienceMs: Readonly<Record<RequestClass, number>>
}

/** What a request is addressed to. */
export type Target =
  | {readonly kind: "model"; readonly model: string}
  | {readonly kind: "service"; readonly service: string}

/** A validated request of a caller. */
export interface Arrival {
  readonly request: string
  readonly organisation: string
  /** Digest of the caller's API key. Undefined if it is not checked again. */
  readonly apiKey?: string
  readonly class: RequestClass
  readonly target: Target
  /** Identifies the start of the prompt; two organisations never have the same one. */
  readonly prefix?: string
  /** The answer is a stream, which can be resumed if the engine supports it. */
  readonly streamed: boolean
  /** False if the request must run at most once. */
  readonly repeatable: boolean
  /** Digest of organisation and idempotency key. Undefined if the caller sent no key. */
  readonly key?: string
  /**
   * Digest of the body, to detect an idempotency key that is reused with another body.
   */
  readonly body: string
  /** The limit that the caller set on the wait. Undefined means that of the class. */
  readonly patienceMs?: number
}

/**
 * `reserving`: the register is recording its idempotency key. `asking`: waits for a grant
 * or for a free member of the service. `running`: sent to a backend server.
 */
export type RequestPhase = "reserving" | "asking" | "running"

export interface EntryRequest extends Arrival {
  readonly phase: RequestPhase
  readonly arrivedAt: number
  readonly expiresAt: number
  /** The cell of a model; empty for a plain service. */
  readonly cell: string
  /** The keeper whose answer the request waits for; empty if none was asked. */
  readonly askedKeeper: string
  readonly backend: string
  readonly attempts: number
  /** Name of the current attempt in messages to keepers and backend servers. */
  readonly attempt: string
  /** Earliest time of the next attempt, after back-off. */
  readonly retryAt: number
  /** Whether the register has recorded the key and must be sent the outcome. */
  readonly reserved: boolean
  readonly startedAt: number
  /** An earlier attempt was lost, so the request must never be reported as "not run". */
  readonly mayHaveRun: boolean
  /** Whether the caller had received any byte of an answer when the stream last broke. */
  readonly replied: boolean
  /** Resumes of the current attempt's stream since it last delivered events. */
  readonly resumes: number
  /** When a broken stream is to be resumed. Undefined while its connection is open. */
  readonly resumeAt: number | undefined
}

/**
 * An attempt whose connection ended before the answer was complete. The engine may still
 * be running it, so the pin stays until the engine confirms the cancel.
 */
export interface EndedAttempt {
  readonly attempt: string
  readonly cell: string
  readonly engine: string
  readonly model: string
  /** When the cancel is sent next. Undefined while an answer to it is pending. */
  readonly retryAt: number | undefined
}

/** The latest grant of an adapter on an engine that this entry has not released. */
export interface HeldGrant {
  readonly cell: string
  readonly engine: string
  readonly model: string
  readonly fence: number
  readonly grant: number
  readonly lastUsed: number
}

export interface KeeperLink {
  readonly lastMessageAt: number
  /** Shares that the keeper reports as its own, each with its fence (fencing token). */
  readonly owned: ReadonlyMap<string, number>
}

export interface EntryState {
  readonly config: Configuration
  readonly links: ReadonlyMap<string, KeeperLink>
  readonly shares: ReadonlyMap<string, ShareRecord>
  /** The highest fence seen of each share. A grant with a lower fence is not used. */
  readonly fences: ReadonlyMap<string, number>
  /** When a message of the current owner last arrived, by share. */
  readonly ownerSeenAt: ReadonlyMap<string, number>
  readonly requests: ReadonlyMap<string, EntryRequest>
  readonly pendingCancels: ReadonlyMap<string, EndedAttempt>
  readonly heldGrants: ReadonlyMap<string, HeldGrant>
  /** Backend servers that are leaving, according to the box list. */
  readonly leavingBackends: ReadonlySet<string>
  /** Outcomes of recorded requests, kept while their register shard has no owner. */
  readonly unsentSettles: readonly Settle[]
  /** Until when other backend servers are preferred to one that refused or was lost. */
  readonly avoidedUntil: ReadonlyMap<string, number>
  /** Remaining retry budget; each new request adds a tenth of a token. */
  readonly retryTokens: number
  readonly random: RandomGenerator
  readonly lastEventAt: number
  readonly stopping: boolean
}

/** How a request ended at a backend server. */
export type BackendResult =
  /** The caller received the complete answer. */
  | "ok"
  /** The backend server answered with an error of its own, which went to the caller. */
  | "answered-error"
  /** The engine does not have the adapter, so the request did not run. */
  | "not-loaded"
  /** The backend server accepts no new work or not this grant, so it did not run. */
  | "refused"
  /** The engine was ordered to reject this grant, so the request did not run. */
  | "stale-grant"
  /** No byte reached the backend server, so the request did not run. */
  | "not-sent"
  /** The connection failed after bytes were sent. */
  | "lost"
  /**
   * As `lost`; the stream cannot be resumed, as the engine lacks it or sent no event ids.
   */
  | "gone"
  | "timeout"
  | "wrong-model"
  /** The caller disconnected. */
  | "abandoned"

export type EntryEvent =
  | {readonly type: "tick"}
  | {readonly type: "config"; readonly config: Configuration}
  | {readonly type: "shares"; readonly shares: ReadonlyMap<string, ShareRecord>}
  | {readonly type: "link-up"; readonly keeper: string}
  | {readonly type: "link-down"; readonly keeper: string}
  | {readonly type: "message"; readonly from: string; readonly message: KeeperMessage}
  | {readonly type: "arrive"; readonly arrival: Arrival}
  | {readonly type: "hang-up"; readonly request: string}
  | {
      readonly type: "backend-result"
      readonly request: string
      readonly result: BackendResult
      /** Whether the caller received any byte of an answer. */
      readonly replied: boolean
      /**
       * The stream delivered events, or was idle until the timeout, before the connection
       * ended.
       */
      readonly progressed?: boolean
    }
  | {
      readonly type: "cancelled"
      readonly attempt: string
      /**
       * The engine confirmed that it does not run the attempt, or the engine has ended.
       */
      readonly confirmed: boolean
    }
  | {readonly type: "box-list"; readonly leaving: ReadonlySet<string>}
  | {readonly type: "stop"}

export type EntryEffect =
  | {readonly type: "send"; readonly to: string; readonly message: EntryMessage}
  | {
      readonly type: "dispatch"
      readonly request: string
      readonly attempt: string
      readonly backend: string
      readonly address: string
      readonly fence: number
      readonly grant: number
      readonly stallMs: number
      /** How full the engine's batch is. Undefined if the cell has no owner. */
      readonly fillPercent: number | undefined
      readonly waitedMs: number
    }
  /** Resumes the stream after the last event that went to the caller. */
  | {
      readonly type: "resume"
      readonly request: string
      readonly attempt: string
      readonly address: string
    }
  /** Ends a partly sent answer with an explicit error. */
  | {readonly type: "break-off"; readonly request: string; readonly code: ErrorCode}
  | {readonly type: "cancel"; readonly attempt: string; readonly address: string}
  | {readonly type: "abort"; readonly request: string; readonly timedOut: boolean}
  | {
      readonly type: "answer"
      readonly request: string
      readonly code: ErrorCode
      readonly retryAfterMs?: number
    }
  /** Reopens all links after a pause, as the peers may have closed them meanwhile. */
  | {readonly type: "reset-links"}
  | {
      readonly type: "note"
      readonly event: EntryLogEvent
      readonly fields: EntryLogFields
    }
  | {readonly type: "stopped"}

export type EntryLogEvent = "retry" | "resume" | "ownerless" | "paused" | "stale-grant"
export type EntryLogFields = Readonly<Record<string, string | number | boolean>>

export interface EntryStep {
  readonly state: EntryState
  readonly effects: readonly EntryEffect[]
}
