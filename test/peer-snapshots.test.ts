/**
 * Requests for store snapshots over real links. Guards against requests whose connections
 * take the processors that the asked boxes need for an answer.
 */
import {once} from "node:events"
import {subscribe, unsubscribe} from "node:diagnostics_channel"
import t, {type Test} from "tap"
import {WebSocket, WebSocketServer} from "ws"
import {LinkHub} from "../src/adapters/box-links.js"
import {packPlain, unpack} from "../src/adapters/link-codec.js"
import {PeerSnapshots} from "../src/adapters/peer-snapshots.js"
import type {StoreSnapshot, StoreSnapshotRequest} from "../src/types/box-messages.js"
import {freePort} from "./support/ports.js"

const ASK: StoreSnapshotRequest = {t: "ask-news", configVersion: -1, ageMs: Infinity}
const NEWS: StoreSnapshot = {t: "news", ageMs: 0, records: [], versions: []}

/** Time that a box has for its answer. */
const ANSWER_MS = 400

type Read = () => Promise<StoreSnapshot | undefined>

const nothing = (): undefined => undefined
const sleep = (ms: number): Promise<undefined> =>
  new Promise(resolve => setTimeout(resolve, ms, undefined))

/** Starts a box that answers requests. */
async function startBox(t: Test, readSnapshot: Read): Promise<[string, LinkHub]> {
  const address = `127.0.0.1:${await freePort()}`
  const events = {
    acceptsFollowers: () => false,
    readSnapshot,
    up: nothing,
    down: nothing,
    message: nothing,
    request: nothing
  }
  const hub = await new Promise<LinkHub>((resolve, reject) => {
    const started: LinkHub = new LinkHub(address, events, () => resolve(started), reject)
  })
  t.teardown(() => hub.close())
  return [address, hub]
}

/** Starts boxes, and a box that asks them. */
async function startBoxes(t: Test, count: number, read: Read): Promise<PeerSnapshots> {
  const boxes = Array.from({length: count}, () => startBox(t, read))
  return createAsker(
    t,
    (await Promise.all(boxes)).map(([address]) => address)
  )
}

function createAsker(t: Test, addresses: readonly string[]): PeerSnapshots {
  const peers = new PeerSnapshots("self:1")
  t.teardown(() => peers.close())
  peers.addAddresses(addresses)
  return peers
}

/** Counts the connections that are accepted in this process. */
function countAccepted(t: Test): () => number {
  let accepted = 0
  const count = (): void => void accepted++
  subscribe("net.server.socket", count)
  t.teardown(() => unsubscribe("net.server.socket", count))
  return () => accepted
}

/** Starts a box of an earlier version, which keeps a link for `keptMs` after it opened. */
async function startEarlier(
  t: Test,
  keptMs: number,
  answer: StoreSnapshot | undefined
): Promise<string> {
  const port = await freePort()
  const server = new WebSocketServer({host: "127.0.0.1", port})
  server.on("connection", link => {
    setTimeout(() => link.terminate(), keptMs).unref()
    link.on("message", () => {
      if (answer) link.send(packPlain(answer))
      else link.terminate()
    })
  })
  await once(server, "listening")
  t.teardown(() => {
    for (const link of server.clients) link.terminate()
    server.close()
  })
  return `127.0.0.1:${port}`
}

// RECOVER: boxes that could not read the store asked each other on new connections each
// time, which took a quarter of their processors and kept them from reading it.
t.test("requests while no box can help open few connections", async t => {
  const accepted = countAccepted(t)
  const peers = await startBoxes(t, 12, () => Promise.resolve(undefined))
  for (let i = 0; i < 60; i++) t.equal(await peers.fetch(ASK), undefined)
  t.comment(`${accepted()} connections for 60 requests to three boxes each`)
  t.ok(accepted() <= 9 + 180 / 5, `${accepted()} connections`)
})

// RECOVER: boxes without a processor answered late, on connections that had been given up.
t.test("requests to boxes that answer late open few connections", async t => {
  const accepted = countAccepted(t)
  const peers = await startBoxes(t, 12, () => sleep(2 * ANSWER_MS))
  for (let i = 0; i < 12; i++) await peers.fetch(ASK)
  t.comment(`${accepted()} connections for 12 requests to three boxes each`)
  t.ok(accepted() <= 9 + 36 / 5, `${accepted()} connections`)
})

t.test("requests to boxes that help use the same links", async t => {
  const accepted = countAccepted(t)
  const peers = await startBoxes(t, 12, () => Promise.resolve(NEWS))
  for (let i = 0; i < 20; i++) {
    t.match(await peers.fetch(ASK), NEWS)
    // All answers arrive.
    await sleep(50)
  }
  t.equal(accepted(), 3)
})

t.test("a box says at once that it can't help, on a link that stays", async t => {
  const accepted = countAccepted(t)
  const peers = await startBoxes(t, 1, () => Promise.resolve(undefined))
  const startedAt = performance.now()
  for (let i = 0; i < 4; i++) t.equal(await peers.fetch(ASK), undefined)
  const tookMs = performance.now() - startedAt
  t.ok(tookMs < ANSWER_MS, `${Math.round(tookMs)} ms`)
  t.equal(accepted(), 1)
})

// An open connection can be dead without a reset.
t.test("a link that fell silent does not keep a box from another answer", async t => {
  let isSilent = false
  const read: Read = () => {
    if (!isSilent) return Promise.resolve(NEWS)
    isSilent = false
    return new Promise(nothing)
  }
  const accepted = countAccepted(t)
  const peers = await startBoxes(t, 1, read)
  t.match(await peers.fetch(ASK), NEWS)
  isSilent = true
  const silent = peers.fetch(ASK)
  await sleep(250)
  t.match(await peers.fetch(ASK), NEWS, "on a new link to the same box")
  t.equal(await silent, undefined)
  t.equal(accepted(), 2)
})

t.test("a box that ended is no longer asked", async t => {
  const [address, hub] = await startBox(t, () => Promise.resolve(NEWS))
  const peers = createAsker(t, [address])
  t.match(await peers.fetch(ASK), NEWS)
  hub.close()
  await sleep(50)
  const [other] = await startBox(t, () => Promise.resolve(NEWS))
  peers.addAddresses([other])
  t.match(await peers.fetch(ASK), NEWS)
})

t.test("boxes of earlier versions are asked, too", async t => {
  for (const keptMs of [100, 60_000]) {
    const helping = await startEarlier(t, keptMs, NEWS)
    const refusing = await startEarlier(t, keptMs, undefined)
    const peers = createAsker(t, [helping, refusing])
    let served = 0
    for (let i = 0; i < 10; i++) {
      if (await peers.fetch(ASK)) served++
      await sleep(60)
    }
    t.ok(served >= 9, `${served} of 10 requests, links of ${keptMs} ms`)
  }
})

t.test("a refusal ends the link of a box of an earlier version", async t => {
  const [address] = await startBox(t, () => Promise.resolve(undefined))
  const link = new WebSocket(`ws://${address}`)
  const messages: unknown[] = []
  link.on("message", data => messages.push(unpack(data as Buffer, 1 << 20)))
  await once(link, "open")
  link.send(packPlain(ASK))
  await once(link, "close")
  t.same(messages, [])
})

t.test("a box that stops closes its links", async t => {
  const [address, hub] = await startBox(t, () => Promise.resolve(NEWS))
  const link = new WebSocket(`ws://${address}`)
  await once(link, "open")
  link.send(packPlain({...ASK, keepsLink: true}))
  await once(link, "message")
  const closed = once(link, "close")
  hub.close()
  await closed
  const server = await startEarlier(t, 60_000, NEWS)
  const peers = new PeerSnapshots("self:1")
  peers.addAddresses([server])
  t.match(await peers.fetch(ASK), NEWS)
  peers.close()
  t.equal(await peers.fetch(ASK), undefined, "and opens no others")
})

t.test("a link without a request is closed", async t => {
  const port = await freePort()
  const server = new WebSocketServer({host: "127.0.0.1", port})
  t.teardown(() => server.close())
  let askedAt = 0
  const closedAfter = new Promise<number>(resolve => {
    server.on("connection", link => {
      link.on("message", () => {
        askedAt = performance.now()
        link.send(packPlain({t: "no-news"}))
      })
      link.on("close", () => resolve(performance.now() - askedAt))
    })
  })
  await once(server, "listening")
  const peers = createAsker(t, [`127.0.0.1:${port}`])
  t.equal(await peers.fetch(ASK), undefined)
  const ms = await closedAfter
  t.ok(ms > 5_000 && ms < 15_000, `${Math.round(ms)} ms`)
})

// Guards against a box that ends as another one reported what is no address.
t.test("what is no address is not asked again", async t => {
  const peers = new PeerSnapshots("own:1")
  t.teardown(() => peers.close())
  peers.addAddresses(["no address"])
  const ask = {t: "ask-news", configVersion: -1, ageMs: Infinity} as const
  t.equal(await peers.fetch(ask), undefined)
  t.equal(await peers.fetch(ask), undefined)
})
