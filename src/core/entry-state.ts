/** The state, events and effects of an entry: what callers reach. */
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
  /** Requests in progress on the box. */
  readonly maxInProgress: number
  /** How long a request of each class waits for an engine, milliseconds. */
  readonly patienceMs: Readonly<Record<RequestClass, number>>
}

/** What a request is for. */
export type Target =
  | {readonly kind: "model"; readonly model: string}
  | {readonly kind: "service"; readonly service: string}

/** A checked request of a caller. */
export interface Arrival {
  readonly request: string
  readonly organisation: string
  readonly class: RequestClass
  readonly target: Target
  /** Names the start of the prompt, never alike for two organisations. */
  readonly prefix?: string
  /** The answer is a stream: it may be resumed where the engine can. */
  readonly streamed: boolean
  /** A request that may not be repeated runs at most once. */
  readonly repeatable: boolean
  /** Digest of organisation and idempotency key, when the caller gave one. */
  readonly key?: string
  readonly body: string
  /** The caller's own limit on the wait, milliseconds. */
  readonly patienceMs?: number
}

/**
 * `reserving`: its key is being recorded. `asking`: waits for a grant or a free member.
 * `running`: sent to a backend server.
 */
export type RequestPhase = "reserving" | "asking" | "running"

export interface EntryRequest extends Arrival {
  readonly phase: RequestPhase
  readonly arrivedAt: number
  readonly giveUpAt: number
  /** The cell of a model; empty for a plain service. */
  readonly cell: string
  /** The keeper that was asked, and has not answered yet. */
  readonly askedOf: string
  readonly backend: string
  readonly attempts: number
  /** The name of the present attempt towards keepers and backend servers. */
  readonly attempt: string
  /** Not before this time, after a refusal. */
  readonly retryAt: number
  /** The key is recorded: its end must be told to the register. */
  readonly reserved: boolean
  readonly startedAt: number
  /** An earlier attempt was lost: whatever comes of later ones, it is not "not run". */
  readonly mayHaveRun: boolean
  /** Any byte of an answer had gone to the caller when its stream last broke. */
  readonly replied: boolean
  /** Resumes of the present attempt's stream since it last brought events. */
  readonly resumes: number
  /** When a broken stream is resumed; undefined while its connection is in use. */
  readonly resumeAt: number | undefined
}

/**
 * An attempt whose connection ended without a whole answer. The engine may still be at work, so
 * the pin stays until it confirmed the cancel.
 */
export interface Ending {
  readonly attempt: string
  readonly cell: string
  readonly engine: string
  readonly model: string
  /** When the cancel is tried again; undefined while it is under way. */
  readonly retryAt: number | undefined
}

/** An engine and adapter that the owner granted and that was not given back. */
export interface Held {
  readonly cell: string
  readonly engine: string
  readonly model: string
  readonly fence: number
  readonly grant: number
  readonly lastUsed: number
}

export interface KeeperLink {
  readonly lastHeard: number
  /** Shares the keeper says it owns, each with its fence. */
  readonly owned: ReadonlyMap<string, number>
}

export interface EntryState {
  readonly config: Configuration
  readonly links: ReadonlyMap<string, KeeperLink>
  readonly shares: ReadonlyMap<string, ShareRecord>
  /** The highest fence seen of each share: no grant with a lower one is used. */
  readonly fences: ReadonlyMap<string, number>
  /** When an owner of the cell was last heard. */
  readonly heardAt: ReadonlyMap<string, number>
  readonly requests: ReadonlyMap<string, EntryRequest>
  readonly endings: ReadonlyMap<string, Ending>
  readonly held: ReadonlyMap<string, Held>
  readonly leaving: ReadonlySet<string>
  /** Ends of recorded requests whose register shard had no owner to be told. */
  readonly unsettled: readonly Settle[]
  /** Backend servers that refused or were lost, until when others go first. */
  readonly avoided: ReadonlyMap<string, number>
  /** Retries that may still be made: a tenth of a token for each new request. */
  readonly retryTokens: number
  readonly random: RandomGenerator
  readonly lastEventAt: number
  readonly stopping: boolean
}

/** How a request ended at a backend server. */
export type BackendResult =
  /** The whole answer went to the caller. */
  | "ok"
  /** The backend server answered with an error of its own, which the caller got. */
  | "answered-error"
  /** The engine does not have the adapter: it did not run. */
  | "not-loaded"
  /** The backend server takes no new work, or not under this grant: it did not run. */
  | "refused"
  /** The engine has been told to take nothing under this grant: it did not run. */
  | "stale-grant"
  /** No byte reached the backend server: it did not run. */
  | "not-sent"
  /** The connection failed after bytes were sent. */
  | "lost"
  /** As `lost`, and the stream cannot be resumed: the engine has none, or it carried no ids. */
  | "gone"
  | "timeout"
  | "wrong-model"
  /** The caller hung up. */
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
      /** Whether any byte of an answer went to the caller. */
      readonly replied: boolean
      /** A stream brought events, or was silent, before its connection ended. */
      readonly progressed?: boolean
    }
  | {
      readonly type: "cancelled"
      readonly attempt: string
      /** The engine confirmed that it does not run the attempt, or is known to have ended. */
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
      /** How full the engine's batch is; unknown without an owner. */
      readonly fillPercent: number | undefined
      readonly waitedMs: number
    }
  /** Take the stream up again after the last event that went to the caller. */
  | {
      readonly type: "resume"
      readonly request: string
      readonly attempt: string
      readonly address: string
    }
  /** End an answer that has begun with an explicit error. */
  | {readonly type: "break-off"; readonly request: string; readonly code: ErrorCode}
  | {readonly type: "cancel"; readonly attempt: string; readonly address: string}
  | {readonly type: "abort"; readonly request: string; readonly timedOut: boolean}
  | {
      readonly type: "answer"
      readonly request: string
      readonly code: ErrorCode
      readonly retryAfterMs?: number
    }
  /** The loop stood still: links may have been given up by their other ends. */
  | {readonly type: "reset-links"}
  | {readonly type: "note"; readonly event: EntryNote; readonly fields: EntryNoteFields}
  | {readonly type: "stopped"}

export type EntryNote = "retry" | "resume" | "ownerless" | "paused" | "stale-grant"
export type EntryNoteFields = Readonly<Record<string, string | number | boolean>>

export interface EntryStep {
  readonly state: EntryState
  readonly effects: readonly EntryEffect[]
}
