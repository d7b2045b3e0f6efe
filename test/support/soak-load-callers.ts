/**
 * Callers of a soak round with load. They send requests of two kinds that differ in
 * nothing but their urgency, in pairs to the same box with the same adapter and key, so
 * that faults strike both kinds alike.
 */
import type {BedBox, Outcome, PlatformBed} from "./platform-bed.js"
import type {SoakOrganisations} from "./soak-organisations.js"
import type {LoadKind, SoakDraws, SoakRecord} from "./soak-record.js"

/** Interval between pairs: more than ten of each kind in a second, which are judged. */
const PAIR_INTERVAL_MS = 60

/** Shorter than that of the usual calls, so that queues at engines stay short. */
const DEADLINE_MS = 2_000

/** A caller waits at most this share of its remaining time as `retry-after` names. */
const MAX_WAIT_SHARE = 1 / 3

const RETRIED_STATUSES: ReadonlySet<number> = new Set([429, 503])

/**
 * Further pairs of an organisation that sends seven times its usual number, with three
 * organisations: six times its usual third of a pair.
 */
const EXCESS_PAIRS = 2

/** What callers send in addition to their usual calls. */
export interface ExtraLoad {
  /** Calls of the less urgent kind with each pair. */
  bulk: number
  /** Number of the organisation that sends seven times its usual number of calls. */
  excessOf: number | undefined
}

export class LoadCallers {
  readonly extra: ExtraLoad = {bulk: 0, excessOf: undefined}
  private readonly pending_: Promise<void>[] = []
  private callCount_ = 0

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly organisations_: SoakOrganisations | undefined,
    private readonly drawAdapter_: (draws: SoakDraws) => string
  ) {}

  /** Calls until faults have ended. Resolves when all calls have been answered. */
  async play(haveFaultsEnded: () => boolean): Promise<void> {
    while (!haveFaultsEnded()) {
      this.callOnce()
      await pause(PAIR_INTERVAL_MS)
    }
    await Promise.all(this.pending_)
  }

  private callOnce(): void {
    const {bulk, excessOf} = this.extra
    this.callPair(this.organisations_?.pickKey(this.draws_), bulk)
    if (excessOf === undefined || !this.organisations_) return
    for (let i = 0; i < EXCESS_PAIRS; i++) {
      this.callPair(this.organisations_.pickKeyOf(excessOf, this.draws_), 0)
    }
  }

  private callPair(key: string | undefined, furtherBulk: number): void {
    const box = this.draws_.pick(this.bed_.boxes)
    const adapter = this.drawAdapter_(this.draws_)
    const kinds: LoadKind[] = ["urgent", "bulk"]
    // Neither kind is always sent first.
    if (this.draws_.draw() < 0.5) kinds.reverse()
    for (let i = 0; i < furtherBulk; i++) kinds.push("bulk")
    for (const kind of kinds) this.pending_.push(this.call(kind, box, adapter, key))
  }

  private async call(
    kind: LoadKind,
    box: BedBox,
    adapter: string,
    key: string | undefined
  ): Promise<void> {
    const deadline = performance.now() + DEADLINE_MS
    // Requests with the same body are the same request to boxes.
    const body = JSON.stringify({load: ++this.callCount_})
    const outcome = await this.try(kind, box, {adapter, key, body}, deadline)
    const waitMs = retryAfterMs(outcome)
    const remainingMs = deadline - performance.now()
    if (waitMs === undefined || waitMs > remainingMs * MAX_WAIT_SHARE) return
    await pause(waitMs)
    await this.try(kind, box, {adapter, key, body}, deadline)
  }

  private async try(
    kind: LoadKind,
    box: BedBox,
    {adapter, key, body}: {adapter: string; key: string | undefined; body: string},
    deadline: number
  ): Promise<Outcome> {
    const sentAt = performance.now()
    const deadlineMs = Math.round(deadline - sentAt)
    const outcome = await this.bed_.call(box, `/${kind}/x`, {
      adapter,
      body,
      deadlineMs,
      ...(key === undefined ? {} : {key})
    })
    const answeredAt = performance.now()
    const call = {kind, box: box.name, outcome, key, sentAt, answeredAt, deadlineMs}
    this.record_.calls.push(call)
    return outcome
  }
}

/** Returns the wait that a refusal names. Undefined if it names none. */
function retryAfterMs({status, headers}: Outcome): number | undefined {
  const seconds = Number(headers["retry-after"])
  return RETRIED_STATUSES.has(status) && seconds >= 0 ? seconds * 1_000 : undefined
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
