/**
 * `node dist/bench/ends.js --seed N`: three boxes before engines whose streams have neither
 * a length nor chunks and break off inside an event with a given probability. Prints a JSON
 * line for each route: how many streams reached their callers whole, complete but short, or
 * cut; runs per stream; and times. Callers take up a cut stream of a resumable route after
 * its last whole event.
 */
import {cac} from "cac"
import {xoroshiro128plus, unsafeUniformIntDistribution} from "pure-rand"
import {Agent, request} from "undici"
import {PlatformBed, type BedBox, MODEL} from "../test/support/platform-bed.js"

const cli = cac("ends")
cli.option("--seed <n>", "Seed of the broken streams", {default: 1})
cli.option("--streams <n>", "Streams of each route", {default: 300})
cli.option("--percent <n>", "Share of the runs that break off", {default: 20})
cli.option("--way <name>", "Name of the way in the output", {default: "this"})
const {options} = cli.parse()

const SEED = Number(options["seed"])
const STREAMS = Number(options["streams"])
const PERCENT = Number(options["percent"])

const EVENTS = 12
const CONCURRENT = 8
const MAX_CALLS = 3
const DEADLINE_MS = 4_000

const generator = xoroshiro128plus(SEED)
const draw = (below: number): number =>
  unsafeUniformIntDistribution(0, below - 1, generator)

type End = "whole" | "short" | "cut" | "refused"

interface Stream {
  /** How the first answer ended. */
  readonly first: End
  /** How the last answer of the caller's calls ended. */
  readonly last: End
  readonly calls: number
  readonly runs: number
  readonly ms: number
}

interface Answer {
  readonly status: number
  readonly text: string
  readonly broken: boolean
}

const agent = new Agent({connections: 64, pipelining: 1})

async function call(
  box: BedBox,
  path: string,
  id: string,
  lastEventId: number
): Promise<Answer> {
  let status = 0
  let text = ""
  try {
    const answer = await request(`http://${box.callers}${path}`, {
      dispatcher: agent,
      method: "POST",
      headers: {
        host: "callers.example",
        "x-request-id": id,
        "x-request-deadline": String(DEADLINE_MS),
        "x-token-usage": "100,20",
        "x-model-id": `${MODEL}/a1`,
        ...(lastEventId > 0 ? {"last-event-id": String(lastEventId)} : {})
      }
    })
    status = answer.statusCode
    for await (const part of answer.body.setEncoding("utf8")) text += String(part)
    return {status, text, broken: false}
  } catch {
    return {status, text, broken: true}
  }
}

/** Returns the id of the last whole event if they follow each other without a gap. */
function readEvents(text: string, after: number): number {
  let last = after
  for (const event of text.split("\n\n").slice(0, -1)) {
    const id = Number(/^id: (\d+)/.exec(event)?.[1])
    if (id !== last + 1) return NaN
    last = id
  }
  return last
}

async function playStream(
  bed: PlatformBed,
  path: string,
  name: string,
  resumable: boolean
): Promise<Stream> {
  const startedAt = performance.now()
  let last = 0
  let first: End | undefined
  let end: End = "refused"
  let calls = 0
  let runs = 0
  while (calls < MAX_CALLS) {
    const box = bed.boxes[draw(bed.boxes.length)] as BedBox
    const id = `${name}-${calls++}`
    const {status, text, broken} = await call(box, path, id, last)
    runs += bed.judge.runsOf(id).length
    last = readEvents(text, last)
    if (last === EVENTS) end = "whole"
    else if (broken) end = status === 200 ? "cut" : "refused"
    else end = status === 200 ? "short" : "refused"
    first ??= end
    if (end === "whole" || end === "short" || !resumable) break
  }
  const ms = performance.now() - startedAt
  return {first: first ?? end, last: end, calls, runs, ms}
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0)
}

function summarize(route: string, streams: readonly Stream[]): object {
  const share = (of: (stream: Stream) => boolean): number =>
    Number((streams.filter(of).length / streams.length).toFixed(3))
  const mean = (of: (stream: Stream) => number): number =>
    Number((streams.reduce((sum, each) => sum + of(each), 0) / streams.length).toFixed(3))
  return {
    way: options["way"],
    seed: SEED,
    percent: PERCENT,
    route,
    streams: streams.length,
    firstWhole: share(({first}) => first === "whole"),
    firstShort: share(({first}) => first === "short"),
    firstCut: share(({first}) => first === "cut"),
    whole: share(({last}) => last === "whole"),
    short: share(({last}) => last === "short"),
    cut: share(({last}) => last === "cut"),
    refused: share(({last}) => last === "refused"),
    runs: mean(({runs}) => runs),
    calls: mean(({calls}) => calls),
    medianMs: median(streams.map(({ms}) => ms)),
    medianBrokenMs: median(streams.filter(({runs}) => runs > 1).map(({ms}) => ms))
  }
}

async function play(bed: PlatformBed, route: "stream" | "once"): Promise<Stream[]> {
  const streams: Stream[] = []
  let next = 0
  const playInTurn = async (): Promise<void> => {
    while (next < STREAMS) {
      const name = `${route}-${next++}`
      streams.push(await playStream(bed, `/${route}/x`, name, route === "stream"))
    }
  }
  await Promise.all(Array.from({length: CONCURRENT}, playInTurn))
  return streams
}

const bed = await PlatformBed.start({boxes: 3, engines: 3, engine: {events: EVENTS}})
try {
  for (const box of bed.boxes) await bed.call(box, "/stream/x", {adapter: "a1"})
  for (const engine of bed.engines) {
    engine.faults = {
      unframed: true,
      get cutAfterEvents() {
        return draw(100) < PERCENT ? draw(EVENTS) : undefined
      }
    }
  }
  for (const route of ["stream", "once"] as const) {
    console.log(JSON.stringify(summarize(route, await play(bed, route))))
  }
} finally {
  await agent.close()
  await bed.stop()
}
