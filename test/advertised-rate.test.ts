/**
 * Upper and lower bounds of the requests that reach a server with an advertised rate
 * limit for all boxes together, while boxes are cut off or killed and leaders change.
 */
import t from "tap"
import {
  type AdvertisedRateOptions,
  type AdvertisedRateResult,
  simulateAdvertisedRate
} from "./patterns/advertised-rate.js"

const RATES = [0.2, 1.2, 20, 400]

/**
 * Many boxes take long to simulate and are used only in cases where callers or the leader
 * make a difference.
 */
const FEW_BOXES = [9, 18, 83]
const MANY_BOXES = [9, 18, 83, 195, 550]
const CASES_WITH_MANY_BOXES = new Set(["callers at all boxes"])

const STRATEGIES = ["allowances", "fixed parts", "few boxes"] as const

const CASES: Readonly<Record<string, Partial<AdvertisedRateOptions>>> = {
  "callers at all boxes": {},
  "callers at one box": {oneBoxShare: 1},
  "half of the requests at one box": {oneBoxShare: 0.5},
  "a third of the boxes is cut off": {cut: [6, 14]},
  "the leader is lost": {leaderLostAt: [8]},
  "leaders are lost in series": {leaderLostAt: [3, 6, 9]},
  "a third of the boxes is killed": {killedAt: 8},
  "a third of the boxes is suspended": {suspendedAt: 8}
}

/**
 * With a third of the boxes cut off, boxes without a leader add half of their part of the
 * rate, and whole requests.
 */
const CUT_SHARE = 0.2
const CUT_REQUESTS = 2

const describe = ({
  most,
  allowedRequests: word,
  used,
  waitMs,
  messages
}: AdvertisedRateResult): string =>
  `most ${most} in 4 s of ${word.toFixed(1)}, used ${used.toFixed(2)}, ` +
  `95 in 100 waited ${waitMs.toFixed(0)} ms, ${messages.toFixed(2)} messages a box and second`

for (const [name, more] of Object.entries(CASES)) {
  t.test(`a server receives no more than its advertised rate: ${name}`, async t => {
    for (const perSecond of RATES) {
      for (const boxes of CASES_WITH_MANY_BOXES.has(name) ? MANY_BOXES : FEW_BOXES) {
        const options = {seed: 1, way: "allowances" as const, boxes, perSecond, ...more}
        const result = simulateAdvertisedRate(options)
        t.comment(`${perSecond} a second, ${boxes} boxes: ${describe(result)}`)
        const fallbackShares = more.cut
          ? Math.max(CUT_REQUESTS, CUT_SHARE * result.allowedRequests)
          : 0
        const limit = Math.ceil(result.allowedRequests) + fallbackShares
        t.ok(result.most <= limit, `${result.most} of ${limit}`)
        const allowed = 1.5 * result.allowedRequests + 5
        t.ok(
          result.mostAfterContact <= allowed,
          `${result.mostAfterContact} of ${allowed}`
        )
      }
    }
  })
}

/**
 * Smallest share of a rate that is used when there is demand. It is lower for low rates,
 * because a box rarely requests an allowance at the time when one is available.
 */
const LEAST_USED = [
  {perSecond: 1.2, used: 0.6},
  {perSecond: 20, used: 0.85},
  {perSecond: 400, used: 0.85}
]

t.test("the advertised rate is used when there is demand", async t => {
  for (const {perSecond, used} of LEAST_USED) {
    for (const boxes of FEW_BOXES) {
      for (const oneBoxShare of [0, 1]) {
        const options = {
          seed: 2,
          way: "allowances" as const,
          boxes,
          perSecond,
          oneBoxShare
        }
        const result = simulateAdvertisedRate({...options, demand: 6})
        t.comment(`${perSecond} a second, ${boxes} boxes: ${describe(result)}`)
        t.ok(result.used >= used, `${result.used} used`)
      }
    }
  }
})

t.test("other strategies for comparison", async t => {
  for (const way of STRATEGIES) {
    for (const perSecond of RATES) {
      for (const oneBoxShare of [0, 1]) {
        const result = simulateAdvertisedRate({
          seed: 1,
          way,
          boxes: 18,
          perSecond,
          oneBoxShare
        })
        const where = oneBoxShare === 1 ? "one box" : "all boxes"
        t.comment(
          `${way}, ${perSecond} a second, callers at ${where}: ${describe(result)}`
        )
      }
    }
  }
  t.pass("results reported")
})
