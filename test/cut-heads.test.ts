/**
 * Heads of answers that stop midway, after which the server closes, resets or keeps the
 * connection open. No caller gets a success from them (MIXED, ORDER), and no box takes
 * them for a report, the result of an order or a list.
 */
import t, {type Test} from "tap"
import type {HeadCut} from "./support/fault-proxy.js"
import {type BedBox, type Outcome, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"
import {wholeStream} from "./support/whole-stream.js"

const DEADLINE_MS = 1_200

/** Time in which a cut box finds out which servers it reaches, with calls at intervals. */
const DETECTION_MS = 2_500
const DETECTION_CALL_MS = 100

/** How long heads of the boxes' own calls are cut. */
const OWN_CUTS_MS = 3_000

const CALLS_AT_ONCE = 12
const CUT_STEP_BYTES = 9
const LONGEST_HEAD_BYTES = 260

const ROUTES = [
  {path: "/safe/", mayRepeat: true},
  {path: "/unsafe/", mayRepeat: false},
  {path: "/stream/", adapter: "a1", mayRepeat: true},
  {path: "/once/", adapter: "a1", mayRepeat: false}
]

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Reads from the path of a request where the head of its answer is to be cut. */
function cutByPath(requestLine: string): HeadCut | undefined {
  const [, bytes, how] = /\/cut-(\d+)-(end|reset|stall)/.exec(requestLine) ?? []
  return bytes === undefined
    ? undefined
    : {bytes: Number(bytes), how: how as HeadCut["how"]}
}

async function startBed(): Promise<PlatformBed> {
  const bed = await PlatformBed.start({
    boxes: 2,
    engines: 2,
    plain: 2,
    cuttable: true,
    proxied: true,
    resets: true
  })
  for (const box of bed.boxes)
    await until("weights are loaded", async () => {
      const {status} = await bed.call(box, "/stream/x", {adapter: "a1"})
      return status === 200
    })
  return bed
}

function isWhole(path: string, {id, body, broken}: Outcome): boolean {
  const expected = path.startsWith("/s") && !path.startsWith("/safe")
  const isStream = expected || path.startsWith("/once")
  return !broken && body === (isStream ? wholeStream(id) : `plain:${id}:`)
}

/** Calls each route with heads that are cut at many bytes, in each way. */
async function expectNoSuccess(t: Test, bed: PlatformBed, box: BedBox): Promise<void> {
  const seen = new Map<string, number>()
  const wrong: string[] = []
  let ran = 0
  const call = async (route: (typeof ROUTES)[number], name: string): Promise<void> => {
    const {path, mayRepeat, ...options} = route
    const outcome = await bed.call(box, `${path}${name}`, {
      deadlineMs: DEADLINE_MS,
      ...options
    })
    const runs = bed.judge.runsOf(outcome.id).length
    ran += Math.min(1, runs)
    seen.set(`${outcome.status}`, (seen.get(`${outcome.status}`) ?? 0) + 1)
    const text = `${path}${name}: ${outcome.status}, ${runs} runs`
    if (outcome.status < 300 && !isWhole(path, outcome)) wrong.push(text)
    // Every head of the request is cut, so that no answer can have been whole.
    if (outcome.status === 200) wrong.push(`${text}, a success`)
    if (!mayRepeat && runs > 1) wrong.push(`${text}, ran twice`)
    const saysNotRun = outcome.status === 503 || outcome.status === 429
    if (!mayRepeat && runs > 0 && saysNotRun) wrong.push(`${text}, ran`)
  }
  const calls: (() => Promise<void>)[] = []
  for (const how of ["end", "reset", "stall"]) {
    const step = how === "stall" ? 5 * CUT_STEP_BYTES : CUT_STEP_BYTES
    for (let bytes = 0; bytes <= LONGEST_HEAD_BYTES; bytes += step)
      for (const route of ROUTES) calls.push(() => call(route, `cut-${bytes}-${how}`))
  }
  const all = calls.length
  const work = async (): Promise<void> => {
    for (let next = calls.shift(); next; next = calls.shift()) await next()
  }
  await Promise.all(Array.from({length: CALLS_AT_ONCE}, work))
  t.same(wrong, [])
  t.ok(ran >= all / 2, `${ran} of ${all} reached a server; ${JSON.stringify([...seen])}`)
}

t.test("heads cut at each place of an answer, at a box and through another", async t => {
  const bed = await startBed()
  t.teardown(() => bed.stop())
  for (const proxy of bed.workerProxies) proxy.setFaults({cutHead: cutByPath})
  const other = bed.leader() as BedBox
  const cutBox = bed.boxes.find(box => box !== other) as BedBox
  await expectNoSuccess(t, bed, other)
  bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset")
  for (let ms = 0; ms < DETECTION_MS; ms += DETECTION_CALL_MS) {
    void bed.call(cutBox, "/safe/x")
    await sleep(DETECTION_CALL_MS)
  }
  await until("the other box sends for it", async () => {
    return (await bed.call(cutBox, "/safe/x")).status === 200
  })
  await expectNoSuccess(t, bed, cutBox)
})

for (const how of ["end", "reset", "stall"] as const) {
  t.test(`heads of reports, orders and the store's answers: ${how}`, async t => {
    const bed = await startBed()
    t.teardown(() => bed.stop())
    let answers = 0
    // Half of the answers are cut, each at another byte.
    const cutHead = (requestLine: string): HeadCut | undefined => {
      const isOwnCall = !/ \/(safe|unsafe|stream|once)\//.test(requestLine)
      return isOwnCall && ++answers % 2 === 0 ? {bytes: answers % 150, how} : undefined
    }
    const stores = bed.boxes.map(({storeProxy}) => storeProxy)
    for (const proxy of [...bed.workerProxies, ...stores]) proxy?.setFaults({cutHead})
    const statuses: number[] = []
    const until = Date.now() + OWN_CUTS_MS
    for (let i = 0; Date.now() < until; i++) {
      const box = bed.boxes[i % 2] as BedBox
      const outcome = await bed.call(box, "/safe/x")
      statuses.push(outcome.status)
      t.ok(outcome.status !== 404, "a cut list is no configuration")
      if (outcome.status === 200) t.ok(isWhole("/safe/x", outcome))
      await bed.call(box, "/stream/x", {adapter: `a${2 + (i % 3)}`})
    }
    for (const proxy of [...bed.workerProxies, ...stores]) proxy?.setFaults()
    const served = statuses.filter(status => status === 200).length
    t.ok(served >= statuses.length / 2, `${served} of ${statuses.length} served`)
    t.ok(answers > 10, `${answers} answers to the boxes' own calls`)
    t.ok(bed.boxes.every(({child}) => !child.ended))
  })
}
