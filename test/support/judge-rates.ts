/** Whether a server that named the rate it takes from all boxes together got more, as the servers saw it. */
import type {Judge} from "../stand-ins/platform-judge.js"
import type {NamedRate} from "../stand-ins/named-rates.js"
import type {Excuse, NoticeRecord} from "./judge-notices.js"

/** What counts is any span of this length that ends so long after the rate was named, milliseconds. */
const SPAN_MS = 4_000
const CONTACT_MS = 3_000

/** A box is bound from so long after it passed on an answer that names the rate, milliseconds. */
const TOLD_MS = 500

/** What a server may get in a span: so many times what its rate allows, and so many requests more. */
const ALLOWED_FACTOR = 1.5
const ALLOWED_MORE = 5

/** Of findings that are alike, those that are told. */
const MOST_LINES = 3

/** Returns what did not hold. */
export function judgeRates(judge: Judge, record: NoticeRecord): string[] {
  return judge.rates.all
    .flatMap(rate => judgeRate(judge, record, rate).slice(0, 1))
    .slice(0, MOST_LINES)
}

function judgeRate(judge: Judge, record: NoticeRecord, rate: NamedRate): string[] {
  const {worker, perSecond, from, to, told} = rate
  const allowed = (ALLOWED_FACTOR * SPAN_MS * perSecond) / 1_000 + ALLOWED_MORE
  const boxOf = (id: string): string | undefined => record.calls.get(id)?.box
  const arrived = judge.arrived.filter(each => each.worker === worker)
  return arrived.flatMap(({at}) => {
    if (at < from + CONTACT_MS || at >= to) return []
    const count = arrived.filter(each => {
      const box = boxOf(each.id)
      if (box === undefined || each.at > at || each.at <= at - SPAN_MS) return false
      const since = struckAt(record.excuses, box, at)
      if (each.at < since) return false
      const toldAt = told.find(
        answer => answer.at > since && boxOf(answer.id) === box
      )?.at
      return toldAt !== undefined && toldAt <= at - TOLD_MS
    }).length
    if (count <= allowed) return []
    const afterMs = Math.round(at - from)
    return [
      `${worker} takes ${perSecond} a second and got ${count} in 4 s, ${afterMs} ms after it said so`
    ]
  })
}

/** When a box was struck last: it has to be told anew, and what came from it before does not count. */
function struckAt(excuses: readonly Excuse[], box: string, until: number): number {
  const times = excuses.filter(each => each.box === box && each.at <= until)
  return Math.max(-Infinity, ...times.map(({at}) => at))
}
