/**
 * Workers in processes of their own, as hostile as the platform's pages allow: one that was
 * stopped runs what its system received meanwhile, though its caller has left.
 */
import {request} from "node:http"
import {setTimeout as sleep} from "node:timers/promises"
import t, {type Test} from "tap"
import {Judge} from "./stand-ins/platform-judge.js"
import {StandInStore} from "./stand-ins/platform-store.js"
import {ProcessWorker} from "./stand-ins/process-worker.js"
import {until} from "./support/wait.js"

const OPTIONS = {service: "plain", dataCentre: "dc-0", runsClosedRequests: true}

async function startWorker(t: Test, options: object = {}) {
  const store = await StandInStore.start()
  const judge = new Judge()
  const worker = await ProcessWorker.start(store, judge, {...OPTIONS, ...options})
  t.teardown(() => {
    worker.stop()
    store.stop()
  })
  await until("its entry", () => store.read(`servers/${worker.id}`) !== undefined)
  const entry = JSON.parse(store.read(`servers/${worker.id}`) ?? "{}") as {
    address: string
  }
  return {worker, judge, address: entry.address}
}

interface Answer {
  readonly status: number
  readonly id: string | undefined
  readonly notExecuted: boolean
}

/** Sends a request; gives it up after `giveUpMs`. Undefined if there was no answer. */
function send(
  address: string,
  id: string,
  headers: Readonly<Record<string, string>> = {},
  giveUpMs = 5_000
): Promise<Answer | undefined> {
  const [hostname, port] = address.split(":")
  return new Promise(resolve => {
    const all = {"x-request-id": id, ...headers}
    const req = request({hostname, port, method: "POST", headers: all, agent: false})
    const timer = setTimeout(() => req.destroy(), giveUpMs)
    req.on("error", () => resolve(undefined))
    req.on("response", res => {
      clearTimeout(timer)
      res.resume()
      resolve({
        status: res.statusCode ?? 0,
        id: res.headers["x-request-id"] as string | undefined,
        notExecuted: res.headers["x-not-executed"] !== undefined
      })
    })
    req.end("{}")
  })
}

t.test("a stopped worker runs a request whose caller left meanwhile", async t => {
  const {worker, judge, address} = await startWorker(t)
  worker.signal("SIGSTOP")
  t.equal(await send(address, "r-1", {}, 200), undefined)
  await sleep(100)
  t.equal(judge.runsOf("r-1").length, 0)
  worker.signal("SIGCONT")
  await until("it runs", () => judge.runsOf("r-1").length === 1)
})

t.test("requests beyond its places wait, and beyond its queue are refused", async t => {
  const options = {places: 1, maxQueued: 1, workMs: 200}
  const {judge, address} = await startWorker(t, options)
  const first = send(address, "r-1")
  await until("the first runs", () => judge.runsOf("r-1").length === 1)
  const second = send(address, "r-2")
  await sleep(50)
  const third = await send(address, "r-3")
  t.match(third, {status: 503, notExecuted: true})
  t.match(await first, {status: 200})
  t.match(await second, {status: 200})
  t.equal(judge.runsOf("r-3").length, 0)
})

t.test(
  "a request whose deadline passes in its queue is refused and never runs",
  async t => {
    const {judge, address} = await startWorker(t, {places: 1, workMs: 300})
    const first = send(address, "r-1")
    await until("the first runs", () => judge.runsOf("r-1").length === 1)
    const second = await send(address, "r-2", {"x-request-deadline": "100"})
    t.match(second, {status: 503, notExecuted: true})
    await first
    await sleep(400)
    t.equal(judge.runsOf("r-2").length, 0)
  }
)

t.test("its next life at the same address answers 421 and names no request", async t => {
  const {worker, judge, address} = await startWorker(t)
  const before = worker.id
  await worker.restart()
  t.not(worker.id, before)
  const answer = await send(address, "r-1", {"x-target-instance": before})
  t.match(answer, {status: 421, id: undefined})
  t.equal(judge.runsOf("r-1").length, 0)
})
