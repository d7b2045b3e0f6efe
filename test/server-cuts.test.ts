/**
 * Callers of a box that reaches no backend server are served as at other boxes.
 *
 * A box whose own links to all servers were cut refused nearly all requests, although
 * the other boxes reached the servers: it used up its retry budget with requests that
 * reached nobody, and a leader that was cut off itself went on leading, so that no
 * weights were loaded anywhere.
 */
import t, {type Test} from "tap"
import type {CutKind} from "./support/server-cuts.js"
import {type BedBox, type Outcome, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"
import {passIfKnownRed} from "./support/known-red.js"

/** Time from a cut until first tries at the cut boxes count (`contactMs`). */
const CONTACT_MS = 3_000
const JUDGED_MS = 4_000
const CALL_INTERVAL_MS = 30
const ADAPTERS = 8

/** Cut boxes must serve first tries at least this often, as a share of the others. */
const MIN_SHARE = 2 / 3

type Kind = "stream" | "safe" | "unsafe"

interface FirstTry {
  readonly kind: Kind
  readonly isCut: boolean
  readonly outcome: Outcome
}

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Sends requests to all boxes in turn for `ms`. */
async function callFor(
  bed: PlatformBed,
  cutBoxes: ReadonlySet<BedBox>,
  ms: number
): Promise<FirstTry[]> {
  const tries: Promise<FirstTry>[] = []
  const end = performance.now() + ms
  for (let i = 0; performance.now() < end; i++) {
    const box = bed.boxes[i % bed.boxes.length] as BedBox
    const kind = (["stream", "safe", "unsafe"] as const)[
      Math.floor(i / bed.boxes.length) % 3
    ] as Kind
    const options =
      kind === "stream"
        ? {adapter: `a${i % ADAPTERS}`, body: "{}"}
        : kind === "unsafe"
          ? {body: "{}"}
          : {}
    tries.push(
      bed
        .call(box, `/${kind}/x`, options)
        .then(outcome => ({kind, isCut: cutBoxes.has(box), outcome}))
    )
    await sleep(CALL_INTERVAL_MS)
  }
  return Promise.all(tries)
}

function isServed({kind, outcome}: FirstTry): boolean {
  const {id, status, body, broken} = outcome
  if (status !== 200 || broken) return false
  return kind === "stream" ? body === wholeStream(id) : body.startsWith(`plain:${id}:`)
}

/** Asserts the users' rule, and what must hold for every request. */
function judge(t: Test, bed: PlatformBed, tries: readonly FirstTry[]): void {
  const at = (isCut: boolean): readonly FirstTry[] =>
    tries.filter(each => each.isCut === isCut)
  const share = (each: readonly FirstTry[]): number =>
    each.filter(isServed).length / Math.max(1, each.length)
  const cut = at(true)
  t.comment(
    `cut: ${cut.filter(isServed).length} of ${cut.length}, others: ` +
      `${at(false).filter(isServed).length} of ${at(false).length}`
  )
  t.ok(
    share(cut) >= MIN_SHARE * share(at(false)),
    "first tries at cut boxes are served as at the others"
  )
  t.ok(share(at(false)) > 0.9, "the other boxes serve")
  for (const {kind, outcome} of tries) {
    const runs = bed.judge.runsOf(outcome.id).length
    if (kind === "unsafe") t.ok(runs <= 1, `${outcome.id} ran ${runs} times`)
    if (outcome.status === 503) t.equal(runs, 0, "a refused request has not run")
  }
  t.same(bed.judge.violations, [])
}

interface CutCase {
  readonly name: string
  readonly boxes: number
  /** Which boxes are cut. */
  readonly selects: (bed: PlatformBed) => readonly BedBox[]
  readonly how: CutKind
}

function followersOf(bed: PlatformBed): BedBox[] {
  return bed.boxes.filter(box => box !== bed.leader())
}

/** The leader's data centre without one of its boxes, which is not the leader. */
function mostOfDataCentre(bed: PlatformBed): BedBox[] {
  const leader = bed.boxes.indexOf(bed.leader() as BedBox)
  const centre = bed.boxes.filter((_, i) => i % 2 === leader % 2)
  const spared = centre.filter(box => box !== bed.leader()).at(-1)
  return centre.filter(box => box !== spared)
}

const CASES: readonly CutCase[] = [
  ...(["hang", "reset", "refuse-new"] as const).map(how => ({
    name: `one box, ${how}`,
    boxes: 3,
    selects: (bed: PlatformBed) => followersOf(bed).slice(0, 1),
    how
  })),
  ...(["hang", "reset", "refuse-new"] as const).map(how => ({
    name: `most boxes of the leader's data centre, ${how}`,
    boxes: 6,
    selects: mostOfDataCentre,
    how
  }))
]

for (const {name, boxes, selects, how} of CASES) {
  t.test(`cut off from all servers: ${name}`, async t => {
    if (passIfKnownRed(`server-cuts: ${name}`)) return
    const bed = await PlatformBed.start({boxes, engines: 3, cuttable: true})
    t.teardown(() => bed.stop())
    await callFor(bed, new Set(), 500)
    const cutBoxes = new Set(selects(bed))
    for (const box of cutBoxes) bed.cut(box, [...bed.engines, ...bed.plain], how)
    await callFor(bed, cutBoxes, CONTACT_MS)
    judge(t, bed, await callFor(bed, cutBoxes, JUDGED_MS))
  })
}
