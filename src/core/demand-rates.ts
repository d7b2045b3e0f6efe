/** Demand for a service by rank and organisation, from the reports of boxes. */
import type {DemandRow} from "../types/load-messages.js"

/**
 * Window of the rates. It holds the same number of reports of each box at any time, as
 * boxes report each 500 ms; a decaying average swings with reports that come together.
 */
const WINDOW_MS = 1_000

/** What boxes say to wait is forgotten unless it is said again within this time. */
const WAITING_MS = 1_250

interface Report {
  readonly at: number
  readonly rows: readonly DemandRow[]
}

/** Demand of one rank, in requests per millisecond. */
export interface RankDemand {
  readonly rank: number
  readonly perMs: number
  /** Part of it that boxes refused. */
  readonly refusedPerMs: number
  readonly byOrganisation: ReadonlyMap<string, number>
  /** Requests of this rank without a first byte of their answer. */
  readonly waiting: number
}

export class DemandRates {
  /** Reports within the window, oldest first. */
  private readonly reports_: Report[] = []
  /** The last report of each box. */
  private readonly last_ = new Map<string, Report>()

  /** Adds what a box reports of this service. Rows with invalid numbers are ignored. */
  record(box: string, rows: readonly DemandRow[], now: number): void {
    const valid = rows.filter(isValid)
    if (valid.length > 0) this.reports_.push({at: now, rows: valid})
    this.last_.set(box, {at: now, rows: valid})
  }

  forgetBox(box: string): void {
    this.last_.delete(box)
  }

  private countWaiting(now: number): Map<number, number> {
    const byRank = new Map<number, number>()
    for (const [box, {rows, at}] of this.last_) {
      if (now - at > WAITING_MS) this.last_.delete(box)
      else {
        for (const [, rank, , , , waiting] of rows)
          byRank.set(rank, (byRank.get(rank) ?? 0) + waiting)
      }
    }
    return byRank
  }

  /** Returns the demand within the window by rank, the most urgent first. */
  list(now: number): RankDemand[] {
    while (this.reports_[0] && this.reports_[0].at <= now - WINDOW_MS) {
      this.reports_.shift()
    }
    const byRank = new Map<number, DemandRow[]>()
    for (const {rows} of this.reports_) {
      for (const row of rows) {
        const known = byRank.get(row[1])
        if (known) known.push(row)
        else byRank.set(row[1], [row])
      }
    }
    const waiting = this.countWaiting(now)
    return [...byRank]
      .sort(([a], [b]) => a - b)
      .map(([rank, rows]) => ({...sumRows(rank, rows), waiting: waiting.get(rank) ?? 0}))
  }
}

function isValid([, rank, , ...counts]: DemandRow): boolean {
  const isRank = Number.isFinite(rank)
  return isRank && counts.every(count => Number.isFinite(count) && count >= 0)
}

function sumRows(rank: number, rows: readonly DemandRow[]): Omit<RankDemand, "waiting"> {
  const byOrganisation = new Map<string, number>()
  let perMs = 0
  let refusedPerMs = 0
  for (const [, , organisation, begun, refused] of rows) {
    const each = (begun + refused) / WINDOW_MS
    byOrganisation.set(organisation, (byOrganisation.get(organisation) ?? 0) + each)
    perMs += each
    refusedPerMs += refused / WINDOW_MS
  }
  return {rank, perMs, refusedPerMs, byOrganisation}
}
