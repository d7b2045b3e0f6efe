/**
 * Checks, by the servers' records, that no server receives more than its advertised rate
 * limit.
 */
import type {Judge} from "../stand-ins/platform-judge.js"
import type {AdvertisedRate} from "../stand-ins/advertised-rates.js"
import type {Exemption, NoticeRecord} from "./judge-notices.js"

/** Length of the time spans in which requests are counted. */
const SPAN_MS = 4_000
/** Time after the rate was advertised at which the first span may end. */
const CONTACT_MS = 3_000

/**
 * Time after a box received a response with the rate until the rate is binding for it.
 */
const BINDING_MS = 500

/**
 * A server may receive at most `ALLOWED_FACTOR` times what its rate allows in a span,
 * plus `ALLOWED_MORE` requests.
 */
const ALLOWED_FACTOR = 1.5
const ALLOWED_MORE = 5

/** Largest number of findings of one kind that are reported. */
const MAX_FINDINGS = 3

/** Returns a line for each rate that was exceeded. */
export function judgeRates(judge: Judge, record: NoticeRecord): string[] {
  return judge.rates.all
    .flatMap(rate => judgeRate(judge, record, rate).slice(0, 1))
    .slice(0, MAX_FINDINGS)
}

function judgeRate(judge: Judge, record: NoticeRecord, rate: AdvertisedRate): string[] {
  const {worker, perSecond, from, to, notices: told} = rate
  const allowed = (ALLOWED_FACTOR * SPAN_MS * perSecond) / 1_000 + ALLOWED_MORE
  const boxOf = (id: string): string | undefined => record.calls.get(id)?.box
  const arrived = judge.arrivedRequests.filter(request => request.worker === worker)
  return arrived.flatMap(({at}) => {
    if (at < from + CONTACT_MS || at >= to) return []
    const count = arrived.filter(request => {
      const box = boxOf(request.id)
      if (box === undefined || request.at > at || request.at <= at - SPAN_MS) return false
      const since = lastExcuseAt(record.exemptions, box, at)
      if (request.at < since) return false
      const receivedAt = told.find(
        answer => answer.at > since && boxOf(answer.id) === box
      )?.at
      return receivedAt !== undefined && receivedAt <= at - BINDING_MS
    }).length
    if (count <= allowed) return []
    const afterMs = Math.round(at - from)
    return [
      `${worker} takes ${perSecond} a second and got ${count} in 4 s, ${afterMs} ms after it said so`
    ]
  })
}

/**
 * Returns the time at which a box was last restarted, suspended or cut off. The box has
 * to receive the rate again, and its earlier requests do not count.
 */
function lastExcuseAt(excuses: readonly Exemption[], box: string, until: number): number {
  const times = excuses.filter(excuse => excuse.box === box && excuse.at <= until)
  return Math.max(-Infinity, ...times.map(({at}) => at))
}
