/** Streams at engines of several software versions, for tests on real boxes. */
import {request} from "undici"
import {
  type BedBox,
  type BedOptions,
  MODEL,
  type Outcome,
  PlatformBed
} from "./platform-bed.js"
import {until} from "./wait.js"

/** Requests of the base model alone, which every engine can run. */
export const BASE_MODEL = {"x-model-id": MODEL}

export const EVENTS = 20

/** Options of engines whose streams last long enough to be interrupted. */
export const SLOW = {events: EVENTS, gapMs: 40}

/** Longer than boxes need to read a new entry and to learn each other's addresses. */
export const SETTLING_MS = 1_500

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Starts boxes and engines, one engine for each of these software versions. */
export async function startVersions(
  versions: readonly string[],
  options: BedOptions = {}
): Promise<PlatformBed> {
  const bed = await PlatformBed.start({boxes: 1, engines: 0, plain: 1, ...options})
  for (const [index, version] of versions.entries()) {
    await bed.addEngine(index, {version})
  }
  const [box] = bed.boxes
  await until("an engine serves", async () => {
    const {status} = await bed.call(box as BedBox, "/stream/x", {headers: BASE_MODEL})
    return status === 200
  })
  await sleep(SETTLING_MS)
  return bed
}

/** A stream that has begun, whose caller reads it until it ends or breaks. */
export interface OpenStream {
  readonly id: string
  /** The last id, once the stream has ended or broken. Never rejects. */
  readonly last: Promise<string>
}

/** Begins a stream, and leaves it once `events` events have come. Returns the last id. */
export async function beginStream(box: BedBox, id: string, events = 2): Promise<string> {
  return readStream(await requestStream(box, id), events)
}

/** Begins a stream, and returns once its first event has come. */
export async function openStream(box: BedBox, id: string): Promise<OpenStream> {
  const chunks = await requestStream(box, id)
  return new Promise((resolve, reject) => {
    const last = readStream(chunks, EVENTS, () => resolve({id, last}))
    void last.then(() => reject(new Error(`${id} ended before its first event`)))
  })
}

async function requestStream(box: BedBox, id: string): Promise<AsyncIterable<unknown>> {
  const {body} = await request(`http://${box.callers}/stream/x`, {
    method: "POST",
    headers: {
      host: "callers.example",
      "x-request-id": id,
      "x-request-deadline": "4000",
      "x-token-usage": "100,20",
      ...BASE_MODEL
    },
    body: "{}"
  })
  return body
}

/** Reads a stream until `events` events have come, or it ends or breaks. */
async function readStream(
  chunks: AsyncIterable<unknown>,
  events: number,
  onEvent?: () => void
): Promise<string> {
  let text = ""
  try {
    for await (const chunk of chunks) {
      text += String(chunk)
      if (lastIdOf(text) !== "") onEvent?.()
      if (text.split("\n\n").length > events) break
    }
  } catch {
    // The box was killed.
  }
  return lastIdOf(text)
}

function lastIdOf(text: string): string {
  return [...text.matchAll(/id: (\d+)\n.*\n\n/g)].at(-1)?.[1] ?? ""
}

/** Takes up the stream that request `first` began after this event. */
export async function takeUp(
  bed: PlatformBed,
  box: BedBox,
  first: string,
  last: string
): Promise<Outcome & {readonly ms: number}> {
  const startedAt = performance.now()
  const headers = {...BASE_MODEL, "last-event-id": last, resumes: first}
  const outcome = await bed.call(box, "/stream/x", {headers, body: "{}"})
  return {...outcome, ms: performance.now() - startedAt}
}
