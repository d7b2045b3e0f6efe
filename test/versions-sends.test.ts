/**
 * A request that waited for a connection is checked again just before it is sent. If it
 * is cancelled only because its version was replaced meanwhile, its engine must not
 * become suspect.
 */
import {createServer} from "node:http"
import type {AddressInfo} from "node:net"
import t from "tap"
import {request} from "undici"
import {platformDialect} from "../platform/dialect.js"
import type {SendHandler} from "../src/adapters/backend-pools.js"
import {startLoop} from "../src/adapters/loop.js"
import {RoutedRelay} from "../src/adapters/routed-relay.js"
import {SurplusAnswers} from "../src/adapters/surplus-answers.js"
import {UnreadAnswers} from "../src/adapters/unread-answers.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../src/core/serving-events.js"
import {loadedEngines, STREAM, Subject} from "./support/box-subject.js"
import {until} from "./support/wait.js"

/** Age, at the start of the test, of the last store read without the second version. */
const READ_BEFORE_MS = 600

/** Together with `READ_BEFORE_MS` longer than requests are sent to a replaced version. */
const WAIT_MS = 1_100

const CONFIG = {
  version: 1,
  routes: [{...STREAM, targetMs: 5_000, timeoutMs: 20_000}],
  services: [{name: "s", maxConnections: 2}],
  organisations: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 16_384,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000
  }
}

t.test("an engine is not suspect if only the version was replaced", async t => {
  const serving = new Subject().box
  const sends: SendHandler[] = []
  const loop = startLoop<RoutedState, RoutedEvent, RoutedEffect>({
    initial: {serving, fleet: undefined},
    step: stepRouted,
    perform: effect => void relay.perform(effect as never),
    makeTick: () => ({type: "tick", mayOrder: false}),
    // The test needs no ticks.
    tickMs: () => Infinity,
    now: () => performance.now()
  })
  const relay: RoutedRelay = new RoutedRelay({
    box: "box",
    dialect: platformDialect,
    post: loop.post,
    postFirst: loop.postFirst,
    serving: () => serving,
    random: () => 0,
    log: () => undefined,
    isStopping: () => false,
    unread: new UnreadAnswers({boundBytes: Infinity, log: () => undefined}),
    surplus: new SurplusAnswers(() => undefined)
  })
  relay.pools.send = (_id, _address, _connections, _options, handler) => {
    sends.push(handler)
  }
  const server = createServer((req, res) => void relay.handleRequest(req, res))
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  t.teardown(() => server.closeAllConnections())
  t.teardown(() => server.close())
  const start = performance.now()
  loop.post({type: "config", config: CONFIG})
  loop.post({type: "engines", engines: loadedEngines()})
  loop.post({type: "news", at: start - READ_BEFORE_MS, read: true})
  loop.post({type: "versions", versions: [["m/x", 2]]})
  loop.post({type: "news", at: start, read: true})
  const {port} = server.address() as AddressInfo
  const caller = new AbortController()
  t.teardown(() => caller.abort())
  request(`http://127.0.0.1:${port}/`, {
    headers: {host: "h", "x-request-id": "n", "x-model-id": "m/x"},
    signal: caller.signal
  }).catch(() => undefined)
  await until("the request is to be sent", () => sends.length === 1)
  await new Promise(resolve => setTimeout(resolve, WAIT_MS))
  loop.post({type: "news", at: performance.now(), read: true})
  t.equal(
    sends[0]?.started(() => undefined),
    false,
    "its version was replaced"
  )
  t.same([...serving.suspectUntil.keys()], [])
  t.same([...(serving.requests.values().next().value?.failedBackends ?? [])], [])
})
