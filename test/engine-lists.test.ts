/**
 * What engines answer to list orders.
 * Guards against taking an engine's adapters for gone when its answer breaks off.
 */
import t from "tap"
import {EngineOrders} from "../src/adapters/engine-orders.js"
import {passIfKnownRed} from "./support/known-red.js"
import {startRawServer} from "./support/raw-http.js"

const UNFRAMED = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"

t.test("an engine's list that breaks off does not count as an empty one", async t => {
  if (passIfKnownRed("engine-lists 1")) return
  const list = '{"data":[{"id":"m","parent":"base"}]}'
  for (const length of [0, 1, list.length - 1]) {
    const engine = await startRawServer(socket =>
      socket.end(UNFRAMED + list.slice(0, length))
    )
    const orders = new EngineOrders({
      orderTimeoutMs: 1_000,
      loadTimeoutMs: 1_000,
      mayEvict: () => true,
      onUnloadBlocked: () => undefined
    })
    const target = {address: engine.address, fence: 1}
    t.match(await orders.send(target, {order: "list", cacheAfter: 0}), {
      ok: false,
      reason: "lost"
    })
    orders.close()
    engine.close()
  }
})
