/** Plays of tests in which shared parts of prompts crash backend servers of a deployment. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import type {Test} from "tap"
import {streamBody} from "../stand-ins/platform-worker.js"
import {judgeCrashingParts, listSoundShares} from "./judge-crashing-parts.js"
import {type BedBox, type BedOptions, PlatformBed} from "./platform-bed.js"
import {type AnsweredCall, type PromptKind, PromptCallers} from "./prompt-callers.js"
import {until} from "./wait.js"

/** Parts that crash servers. */
export const GUILTY = "bad00001"
export const GUILTY_TOO = "bad00002"

/** How long sound requests are sent alone, and then beside those with the part. */
const ALONE_MS = 2_000
const LEAST_BESIDE_MS = 13_000
const MOST_BESIDE_MS = 40_000

/** All boxes know the part this long after the fifth crash, or the last if fewer. */
const PROPAGATION_MS = 3_000

/** Sound requests are compared from `RECOVERY_MS` after that crash, for some time. */
const RECOVERY_MS = 6_000
const COMPARED_MS = 2_000

/** A refusal comes at once, that is, without waiting for any timeout or trial. */
const REFUSED_WITHIN_MS = 500

/** Least number of refusals that a test checks. */
export const LEAST_REFUSALS = 10

/** Requests in a row that were refused if their part is kept from servers. */
const LEAST_IN_ROW = 5

export const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Routes to engines whose answers are no streams to boxes. */
const WHOLE_ROUTES = [
  {
    name: "whole",
    pathPrefix: "/whole/",
    kind: "safe",
    service: "engines",
    maxAttempts: 3,
    targetLatencyMs: 400
  },
  {
    name: "whole-once",
    pathPrefix: "/whole-once/",
    kind: "unsafe",
    service: "engines",
    maxAttempts: 1,
    targetLatencyMs: 400
  }
] as const

/** Streams last long enough for several to be in progress at each engine. */
const body = (name: string): string => streamBody(name, {events: 10, gapMs: 20})

export const STREAM: PromptKind = {path: "/stream/", adapter: "a1", body}
export const ONCE: PromptKind = {path: "/once/", adapter: "a2", body}
export const WHOLE: PromptKind = {path: "/whole/", adapter: "a1"}
export const WHOLE_ONCE: PromptKind = {path: "/whole-once/", adapter: "a2"}
export const PLAIN: PromptKind = {path: "/unsafe/"}

export interface Play {
  readonly bed: PlatformBed
  readonly callers: PromptCallers
  /** When boxes were down. What was sent to them meanwhile is not judged. */
  readonly downs: readonly Down[]
}

export interface Down {
  readonly box: string
  readonly from: number
  readonly to: number
}

/** Starts a deployment that serves these kinds, and sound callers of each. */
export async function startPlay(
  kinds: readonly PromptKind[],
  options: BedOptions = {}
): Promise<Play> {
  const bed = await PlatformBed.start({
    boxes: 3,
    engines: 4,
    plain: 4,
    engine: {downMs: 1_500},
    plainWorker: {downMs: 1_500},
    ...options
  })
  try {
    bed.configure(WHOLE_ROUTES)
    for (const worker of bed.plain) worker.faults = {slowMs: 100}
    for (const kind of kinds) {
      await until(`${kind.path} is served by all boxes`, () => isServed(bed, kind))
    }
  } catch (cause) {
    await bed.stop()
    throw cause
  }
  const callers = new PromptCallers(bed)
  for (const kind of kinds) callers.sendSound(kind)
  await sleep(ALONE_MS)
  return {bed, callers, downs: []}
}

/** Kills boxes and starts them again. Returns when they were down. */
export async function restart(
  bed: PlatformBed,
  boxes: readonly BedBox[]
): Promise<Down[]> {
  const from = performance.now()
  await Promise.all(boxes.map(({child}) => child.end("SIGKILL")))
  for (const box of boxes) bed.restartBox(box)
  await bed.ready()
  const to = performance.now()
  return boxes.map(({name}) => ({box: name, from, to}))
}

async function isServed(
  bed: PlatformBed,
  {path, adapter, key}: PromptKind
): Promise<boolean> {
  const options = {
    body: "{}",
    ...(adapter === undefined ? {} : {adapter}),
    ...(key === undefined ? {} : {key})
  }
  const calls = bed.boxes.map(box => bed.call(box, `${path}x`, options))
  return (await Promise.all(calls)).every(({status}) => status === 200)
}

/** Checks what callers and servers saw of guilty parts. */
export function check(
  t: Test,
  {bed, callers, downs}: Play,
  kinds: readonly PromptKind[],
  parts: readonly string[] = [GUILTY]
): void {
  const {crashes} = bed.judge.parts
  for (const part of parts) {
    const under = crashes.filter(crash => crash.part === part)
    t.ok(under.length > 0, `${under.length} crashed under ${part}`)
    checkRefusals(t, {bed, callers, downs}, part)
  }
  const calls = callers.calls.filter(call => !wasDown(downs, call))
  t.same(judgeCrashingParts(bed.judge, calls), [])
  const shares = listSoundShares(bed.judge, calls)
  for (const {path} of kinds) {
    t.ok(
      shares.some(({route}) => route === path),
      `sound requests of ${path} were judged`
    )
  }
  t.same(bed.judge.violations, [])
  if (!t.passing()) saveLogs(t, bed)
}

/** Saves the boxes' output, as a failure that doesn't recur can be traced only by it. */
export function saveLogs(t: Test, bed: PlatformBed): void {
  const file = join(mkdtempSync(join(tmpdir(), "sedge-parts-")), "boxes.log")
  writeFileSync(file, bed.logs())
  t.comment(`logs: ${file}`)
}

/** Checks that requests that reached no server were refused at once, and with a wait. */
function checkRefusals(t: Test, {bed, callers, downs}: Play, part: string): void {
  const {parts} = bed.judge
  const knownAt = knownAtOf(bed, part)
  const arrived = new Set(parts.arrivals.map(({id}) => id))
  const refused = callers.calls.filter(
    call =>
      call.parts.includes(part) &&
      call.sentAt > knownAt + PROPAGATION_MS &&
      call.sentAt < (parts.repairs.get(part) ?? Infinity) &&
      !arrived.has(call.id) &&
      !wasDown(downs, call)
  )
  t.ok(refused.length >= LEAST_REFUSALS, `${refused.length} refused under ${part}`)
  t.same(refused.filter(call => !isPromptRefusal(call)).map(describe), [])
}

/** Returns when the fifth server crashed under a part, or the last one if fewer did. */
function knownAtOf({judge}: PlatformBed, part: string): number {
  const under = judge.parts.crashes.filter(crash => crash.part === part)
  return under[4]?.at ?? under.at(-1)?.at ?? Infinity
}

function wasDown(downs: readonly Down[], {box, sentAt}: AnsweredCall): boolean {
  return downs.some(down => down.box === box && sentAt > down.from && sentAt < down.to)
}

export function isPromptRefusal({outcome, sentAt, answeredAt}: AnsweredCall): boolean {
  const {status, headers} = outcome
  const isPrompt = answeredAt - sentAt < REFUSED_WITHIN_MS
  return status === 503 && Number(headers["retry-after"]) > 0 && isPrompt
}

export function describe({id, outcome, sentAt, answeredAt}: AnsweredCall): string {
  const {status, headers} = outcome
  const afterMs = Math.round(answeredAt - sentAt)
  return `${id}: ${status} after ${afterMs} ms, retry-after ${headers["retry-after"]}`
}

/** Whether the last requests with the part were all refused at once. */
export function isRefused({calls}: PromptCallers, part: string): boolean {
  const last = calls.filter(({parts}) => parts.includes(part)).slice(-LEAST_IN_ROW)
  return last.length === LEAST_IN_ROW && last.every(isPromptRefusal)
}

/** Waits until this number of servers have crashed under any part. */
export async function crashed(bed: PlatformBed, count: number): Promise<void> {
  await until(`${count} crashed`, () => bed.judge.parts.crashes.length >= count)
}

/** Plays until there is enough to judge these parts, and stops all callers. */
export async function playOut(
  {bed, callers}: Play,
  parts: readonly string[] = [GUILTY]
): Promise<void> {
  await sleep(LEAST_BESIDE_MS)
  const end = performance.now() + MOST_BESIDE_MS - LEAST_BESIDE_MS
  const isJudged = (part: string): boolean =>
    performance.now() > knownAtOf(bed, part) + RECOVERY_MS + COMPARED_MS
  while (performance.now() < end && !parts.every(isJudged)) await sleep(100)
  await callers.stop()
}
