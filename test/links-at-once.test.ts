/**
 * Boxes that link to a leader at about the same time, as all of them do after a start of
 * all boxes, over real links. A leader that prepared and packed its full state for each
 * of them had processor time for a few links a second only.
 */
import t, {type Test} from "tap"
import {WebSocket} from "ws"
import type {StoreEras} from "../src/adapters/era-source.js"
import {BoxHub} from "../src/adapters/box-hub.js"
import {packPlain, unpack} from "../src/adapters/link-codec.js"
import type {SettledEra} from "../src/adapters/settled-era.js"
import type {SnapshotSource} from "../src/adapters/snapshot-source.js"
import {createBoxServing} from "../src/core/box-state.js"
import {createLeadership} from "../src/core/leadership.js"
import type {RoutedEvent} from "../src/core/serving-events.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {stepRouted} from "../src/core/serving.js"
import type {FromLeader, ToLeader} from "../src/types/box-messages.js"
import type {FleetConfig} from "../src/types/fleet.js"
import {CONFIG, recordOf} from "./patterns/fleet.js"
import {freePort} from "./support/ports.js"
import {until} from "./support/wait.js"

const BOXES = 40

/** The longest that a box may wait for the full state after another one got it. */
const STATE_INTERVAL_MS = 100

const MAX_MESSAGE_BYTES = 16 << 20

const nothing = (): undefined => undefined

/** A box's end of a link. */
class Box {
  readonly received: FromLeader[] = []
  private readonly socket_: WebSocket

  constructor(
    readonly name: string,
    address: string
  ) {
    this.socket_ = new WebSocket(`ws://${address}`, {perMessageDeflate: false})
    this.socket_.on("error", nothing)
    this.socket_.on("message", data =>
      this.received.push(unpack(data as Buffer, MAX_MESSAGE_BYTES) as FromLeader)
    )
  }

  async opened(): Promise<void> {
    await until("a connection", () => this.socket_.readyState === WebSocket.OPEN)
  }

  send(message: ToLeader): void {
    this.socket_.send(packPlain(message))
  }

  hello(configVersion = -1): void {
    const {name} = this
    const address = `${name}:1`
    this.send({
      t: "hello",
      box: name,
      incarnation: name,
      configVersion,
      ageMs: 0,
      address
    })
  }

  count(type: FromLeader["t"]): number {
    return this.received.filter(message => message.t === type).length
  }

  find<T extends FromLeader["t"]>(type: T): Extract<FromLeader, {t: T}> | undefined {
    return this.received.find(
      (message): message is Extract<FromLeader, {t: T}> => message.t === type
    )
  }

  close(): void {
    this.socket_.terminate()
  }
}

/** A leader, and what it does for the boxes that link to it. */
class Leader {
  /** How often it prepared the full state. */
  prepared = 0
  /** Addresses that it has passed on to the other parts of the box. */
  learned = 0
  linked: () => void = nothing
  private config_: FleetConfig = CONFIG
  private readonly boxes_: Box[] = []
  private address_ = ""
  private readonly state_: RoutedState = {
    serving: createBoxServing({
      dataCentre: "dc-0",
      retry: {ratio: 0.2, slack: 210, windowMs: 10_000},
      handoverMs: 3_200,
      random: () => 0.5
    }),
    fleet: undefined
  }
  private hub_: BoxHub | undefined

  get hub(): BoxHub {
    if (!this.hub_) throw new Error("the leader has not started")
    return this.hub_
  }

  async start(): Promise<this> {
    this.list([0, 1])
    this.apply({type: "config", config: this.config_})
    this.apply({type: "lead"})
    this.address_ = `127.0.0.1:${await freePort()}`
    await new Promise<void>((resolve, reject) => {
      this.hub_ = new BoxHub(this.options(), resolve, reject)
    })
    return this
  }

  /** Replaces the list of servers. */
  list(servers: readonly number[]): void {
    const reading = {source: "store" as const, readAt: performance.now()}
    this.apply({type: "backends", records: servers.map(recordOf), reading})
  }

  configure(version: number): void {
    this.config_ = {...CONFIG, version}
  }

  async connect(count: number): Promise<Box[]> {
    const first = this.boxes_.length
    const boxes = Array.from(
      {length: count},
      (_, i) => new Box(`box-${first + i}`, this.address_)
    )
    this.boxes_.push(...boxes)
    for (const box of boxes) await box.opened()
    return boxes
  }

  close(): void {
    for (const box of this.boxes_) box.close()
    this.hub_?.close()
  }

  private apply(event: RoutedEvent): void {
    stepRouted(this.state_, event, performance.now())
  }

  private options(): ConstructorParameters<typeof BoxHub>[0] {
    const config = (): FleetConfig => this.config_
    const settled = {
      // The hub asks this once for each preparation of the full state.
      mayReadRestoredEntries: () => {
        this.prepared++
        return false
      }
    } as unknown as SettledEra
    const snapshotSource = {
      get config() {
        return config()
      },
      ageMs: () => 0,
      readAgeMs: () => 0,
      configAgeMs: () => 0
    } as unknown as SnapshotSource
    return {
      address: this.address_,
      state: () => this.state_,
      post: nothing,
      snapshotSource,
      capacity: 1,
      leadership: {...createLeadership(), fence: 1},
      eras: {report: nothing} as unknown as StoreEras,
      settled,
      leader: nothing,
      addressesLearned: addresses => (this.learned += addresses.length),
      request: nothing,
      log: event => {
        if (event === "box-linked") this.linked()
      }
    }
  }
}

async function startLeader(t: Test): Promise<Leader> {
  const leader = await new Leader().start()
  t.teardown(() => leader.close())
  return leader
}

function haveState(boxes: readonly Box[]): Promise<void> {
  return until("the full state", () => boxes.every(box => box.count("ping") > 0)).then(
    nothing
  )
}

/** Starts a leader with `BOXES` linked boxes. */
async function startLinked(t: Test): Promise<{leader: Leader; linked: Box[]}> {
  const leader = await startLeader(t)
  const linked = await leader.connect(BOXES)
  for (const box of linked) box.hello()
  await haveState(linked)
  return {leader, linked}
}

/** Plays `link` and checks how often the leader prepared the full state meanwhile. */
async function checkPreparations(
  t: Test,
  leader: Leader,
  link: () => Promise<void>
): Promise<void> {
  leader.prepared = 0
  const startedAt = performance.now()
  await link()
  const intervals = (performance.now() - startedAt) / STATE_INTERVAL_MS
  t.ok(leader.prepared >= 1)
  t.ok(leader.prepared <= intervals + 1, `${leader.prepared} in ${intervals} intervals`)
}

// Guards against work for each link that grows with the number of boxes and servers.
t.test("boxes that link in one turn share preparations of the full state", async t => {
  const {leader} = await startLinked(t)
  const boxes = await leader.connect(BOXES)
  leader.learned = 0
  await checkPreparations(t, leader, async () => {
    for (const box of boxes) box.hello()
    await haveState(boxes)
  })
  t.ok(leader.learned <= leader.prepared * 2 * BOXES)
  for (const box of boxes) {
    t.equal(box.find("backends")?.records.length, 2)
    t.ok((box.find("boxes")?.addresses.length ?? 0) > BOXES)
  }
})

// Guards against the same for boxes that link one after the other.
t.test("boxes that link in a row share preparations of the full state", async t => {
  const {leader} = await startLinked(t)
  const boxes = await leader.connect(BOXES)
  let links = 0
  leader.linked = () => links++
  await checkPreparations(t, leader, async () => {
    for (const [i, box] of boxes.entries()) {
      box.hello()
      await until("a link", () => links > i)
    }
    await haveState(boxes)
  })
})

// Guards against the same for boxes that ask for the full state after trouble of the store.
t.test("boxes that ask for a full update share its preparation", async t => {
  const {leader, linked} = await startLinked(t)
  await checkPreparations(t, leader, async () => {
    for (const box of linked) box.send({t: "ask-all", configVersion: CONFIG.version})
    await until("updates", () => linked.every(box => box.count("backends") === 2))
  })
})

// Guards against state that changed between a link and its full state.
t.test("the full state is that of the moment in which it is sent", async t => {
  const leader = await startLeader(t)
  const [box] = await leader.connect(1)
  if (!box) throw new Error("no box")
  leader.linked = () => {
    leader.list([0, 1, 2])
    leader.configure(CONFIG.version + 1)
  }
  box.hello(CONFIG.version)
  await haveState([box])
  t.equal(box.find("backends")?.records.length, 3)
  t.equal(box.find("config")?.config.version, CONFIG.version + 1)
})

// Guards against a ping that makes a box's own, older state appear as new as the leader's.
t.test("a box gets no ping and no change before the full state", async t => {
  const leader = await startLeader(t)
  const [box] = await leader.connect(1)
  if (!box) throw new Error("no box")
  leader.linked = () => {
    leader.hub.broadcastUpdate({t: "versions", versions: [["base/a", 7]]})
    leader.hub.sendStoreRead(performance.now())
  }
  box.hello()
  await haveState([box])
  const types = box.received.map(message => message.t)
  t.equal(types[0], "config")
  t.equal(types.indexOf("ping"), types.length - 1)
  t.equal(box.count("ping"), 1)
})
