/** Inputs and helpers of a scheduling pass over a cell. */
import type {Configuration} from "../types/config.js"
import type {Policies} from "./cell-policy.js"
import type {CellDraft, Engine, WaitingRequest} from "./cell-state.js"
import type {Timing} from "./timing.js"

/** Inputs of a pass, besides the cell. */
export interface CellContext extends Policies {
  readonly config: Configuration
  readonly timing: Timing
  /** Whether evictions may be ordered: the lease is valid now by the monotonic clock. */
  readonly mayEvict: boolean
  /** The cell's share of the load budget of the weight store. */
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  /** Entries without a live link (silent entries), each with the start of its silence. */
  readonly silentSince: ReadonlyMap<string, number>
}

/** Retry delay sent with a refusal for lack of capacity. */
export const RETRY_AFTER_MS = 1_000

/** Removes a waiting request and reports to its entry that it did not run. */
export function refuse(
  draft: CellDraft,
  waiting: WaitingRequest,
  code: "no-capacity" | "load-failed",
  retryAfterMs: number
): void {
  draft.waiting.delete(waiting.request)
  draft.effects.push({
    type: "send",
    to: waiting.entry,
    message: {t: "refuse", request: waiting.request, code, retryAfterMs}
  })
}

/** Whether an engine may get requests and loads now. */
export function isUsable(draft: CellDraft, engine: Engine): boolean {
  return engine.listed && !engine.leaving && engine.avoidUntil <= draft.now
}
