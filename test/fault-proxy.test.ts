/** The fault proxy of the tests: connections become silent while new ones work. */
import {once} from "node:events"
import {type AddressInfo, connect, createServer, type Socket} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {FaultProxy} from "./support/fault-proxy.js"

/** Time after which data that isn't blocked has arrived. */
const DELIVERY_MS = 200

/** Starts an echo server with a proxy in front of it. */
async function start(t: {teardown: (end: () => void) => void}): Promise<{
  proxy: FaultProxy
  accepted: Socket[]
  open: () => Promise<Socket>
}> {
  const accepted: Socket[] = []
  const opened: Socket[] = []
  const server = createServer(socket => {
    accepted.push(socket)
    socket.on("error", () => undefined)
    socket.pipe(socket)
  })
  server.listen(0, "127.0.0.1")
  await once(server, "listening")
  const proxy = await FaultProxy.start((server.address() as AddressInfo).port)
  t.teardown(() => {
    proxy.close()
    server.close()
    for (const socket of [...accepted, ...opened]) socket.destroy()
  })
  const open = async (): Promise<Socket> => {
    const socket = connect(proxy.port, "127.0.0.1")
    opened.push(socket)
    socket.on("error", () => undefined)
    await once(socket, "connect")
    return socket
  }
  return {proxy, accepted, open}
}

async function echo(socket: Socket, text: string): Promise<string> {
  const answer = once(socket, "data").then(([data]) => String(data))
  socket.write(text)
  return Promise.race([answer, sleep(DELIVERY_MS).then(() => "nothing")])
}

t.test("a silent connection passes no more data, and new ones work", async t => {
  const {proxy, open} = await start(t)
  const old = await open()
  t.equal(await echo(old, "before"), "before")
  proxy.silence()
  t.equal(await echo(old, "after"), "nothing")
  t.equal(await echo(await open(), "new"), "new")
})

t.test("a silent connection stays silent when other faults end", async t => {
  const {proxy, open} = await start(t)
  const old = await open()
  t.equal(await echo(old, "before"), "before")
  proxy.setFaults({blockUp: true})
  proxy.silence()
  proxy.setFaults()
  proxy.cut()
  t.equal(await echo(old, "after"), "nothing")
  t.notOk(old.destroyed)
})

t.test("neither side of a silent connection notices that the other closes", async t => {
  const {proxy, accepted, open} = await start(t)
  const [one, other] = [await open(), await open()]
  t.equal(await echo(one, "one"), "one")
  t.equal(await echo(other, "other"), "other")
  proxy.silence()
  const [atOne, atOther] = accepted as [Socket, Socket]
  one.destroy()
  atOther.destroy()
  await sleep(DELIVERY_MS)
  t.notOk(atOne.destroyed)
  t.notOk(other.destroyed)
})
