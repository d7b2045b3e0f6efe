/**
 * The silent attempt of a hedged stream ends while the other attempt is open. Guards
 * against runs that nobody ends, and against writes after the end of an answer.
 */
import type {ServerResponse} from "node:http"
import t from "tap"
import {ReaderBed} from "./support/reader-bed.js"
import {until} from "./support/wait.js"

const SILENT_MS = 1_400
const EVENT_BYTES = 30_000

/** Events that fill the buffers of an unread connection, at most. */
const MAX_EVENTS = 2_000

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

interface Open {
  readonly res: ServerResponse
  isClosed: boolean
}

/** Starts servers whose answers the test writes. */
async function startBed(): Promise<{bed: ReaderBed; open: Open[]}> {
  const open: Open[] = []
  const bed = await ReaderBed.start({
    servers: 2,
    answer: (_req, res) => {
      const each = {res, isClosed: false}
      res.on("close", () => (each.isClosed = true))
      open.push(each)
    }
  })
  return {bed, open}
}

function eventOf(number: number, bytes = 20): string {
  return `id: ${number}\ndata: ${"x".repeat(bytes)}\n\n`
}

// All events of the silent attempt were sent before, so its end alone arrives.
t.test("the end of a silent attempt closes the other attempt", async t => {
  const {bed, open} = await startBed()
  t.teardown(() => bed.stop())
  const reader = bed.call("/stream/x", "r").read()
  await until("the stream runs", () => open.length === 1)
  open[0]?.res.write(eventOf(1))
  await until("another server is tried", () => open.length === 2)
  open[0]?.res.end()
  await reader.end()
  t.equal(reader.body.isComplete, true)
  await sleep(500)
  t.equal(open[1]?.isClosed, true, "the other attempt is closed")
})

// The box wrote to an answer that had ended, which ends its process.
t.test("the other attempt does not write after the end of the answer", async t => {
  const {bed, open} = await startBed()
  t.teardown(() => bed.stop())
  const reader = bed.call("/stream/x", "r")
  await until("the stream runs", () => open.length === 1)
  // The caller reads nothing, and the box holds a part of the answer.
  for (let i = 1; i < MAX_EVENTS && bed.unread.totalBytes < EVENT_BYTES; i++) {
    open[0]?.res.write(eventOf(i, EVENT_BYTES))
    await sleep(5)
  }
  t.ok(bed.unread.totalBytes >= EVENT_BYTES, `${bed.unread.totalBytes} bytes wait`)
  await until("another server is tried", () => open.length === 2)
  open[0]?.res.end()
  await sleep(100)
  let isThrown = ""
  const onError = (cause: Error): void => void (isThrown = cause.message)
  process.prependOnceListener("uncaughtException", onError)
  open[1]?.res.write(eventOf(MAX_EVENTS))
  open[1]?.res.end()
  await sleep(SILENT_MS)
  process.off("uncaughtException", onError)
  t.equal(isThrown, "", "the process would end")
  reader.hangUp()
})
