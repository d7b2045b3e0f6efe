/**
 * `npm run bench -- starts`: all boxes are killed and start again at once, as real
 * processes on the processors of this machine. Reports what callers and the store saw in
 * each second since the start of the processes.
 */
import {spawnSync} from "node:child_process"
import {setImmediate as nextTurn, setTimeout as sleep} from "node:timers/promises"
import {fileURLToPath} from "node:url"
import {cac} from "cac"
import type {StoreFaults} from "../test/stand-ins/platform-store.js"
import {ProcessStore} from "../test/stand-ins/process-store.js"
import {type BedTenant, PlatformBed} from "../test/support/platform-bed.js"
import {Callers, type Load} from "./starts-callers.js"
import {
  formatShare,
  printLogs,
  printSeconds,
  type Sample,
  type StartsBed,
  takeSample
} from "./starts-report.js"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))

const WINDOW_S = 8
const LEASE_MS = 1_200

/** Time with calls before the kills, longer than the window of the limits. */
const CALM_S = 10
const STARTS_PER_TURN = 10
const DOWN_MS = 1_200

/** Troubles of the store, from the last kill on. */
const STORE_FAULTS: Readonly<Record<string, StoreFaults>> = {
  slow: {delayMs: 240},
  silent: {silent: true},
  busy: {refuseEach: 2}
}

interface Options {
  readonly boxes: number
  readonly engines: number
  readonly kills: number
  /** Time between two kills. */
  readonly intervalMs: number
  readonly load: Load
  /** Part of each organisation's limit that the calls use. */
  readonly limitShare: number
  /** A name in `STORE_FAULTS`. */
  readonly store: string | undefined
  readonly storeMs: number
  readonly seconds: number
  readonly build: string
}

export async function benchStarts(): Promise<void> {
  const cli = cac("starts")
  cli.option("--boxes <n>", "Boxes", {default: 40})
  cli.option("--engines <n>", "Engines", {default: 2})
  cli.option("--kills <n>", "How often all are killed", {default: 1})
  cli.option("--interval <ms>", "Time between two kills", {default: 3_000})
  cli.option("--calls <n>", "Calls a second", {default: 80})
  cli.option("--deadline <ms>", "Deadline of a call", {default: 2_000})
  cli.option("--keys", "Calls have keys of organisations with limits", {default: false})
  cli.option("--organisations <n>", "Organisations with --keys", {default: 4})
  cli.option("--share <part>", "Part of the limits that is used", {default: 0.75})
  cli.option("--store <trouble>", "The store is slow, silent or busy after the last kill")
  cli.option("--store-ms <ms>", "For how long", {default: 5_000})
  cli.option("--processors <n>", "Processors for all of it (with taskset)")
  cli.option("--seconds <n>", "Seconds to observe", {default: 30})
  cli.option("--build <folder>", "Folder with the bundle", {default: `${ROOT}target`})
  cli.help()
  const {options} = cli.parse(process.argv.slice(1))
  if (options["help"]) return
  if (options["processors"] !== undefined) return runOn(Number(options["processors"]))
  await run({
    boxes: Number(options["boxes"]),
    engines: Number(options["engines"]),
    kills: Number(options["kills"]),
    intervalMs: Number(options["interval"]),
    load: {
      callsPerS: Number(options["calls"]),
      organisations: options["keys"] === true ? Number(options["organisations"]) : 0,
      deadlineMs: Number(options["deadline"])
    },
    limitShare: Number(options["share"]),
    store: options["store"] as string | undefined,
    storeMs: Number(options["storeMs"]),
    seconds: Number(options["seconds"]),
    build: String(options["build"])
  })
}

/** Runs this program again on the first `count` processors, without that option. */
function runOn(count: number): void {
  const args = [...process.execArgv, ...process.argv.slice(1)]
  const at = args.findIndex(arg => arg.startsWith("--processors"))
  args.splice(at, args[at]?.includes("=") === true ? 1 : 2)
  const command = ["-c", `0-${count - 1}`, process.execPath, ...args]
  process.exitCode = spawnSync("taskset", command, {stdio: "inherit"}).status ?? 1
}

async function run(options: Options): Promise<void> {
  const {boxFlags} = (await import(`${options.build}/../deploy/box-flags.js`)) as {
    boxFlags: () => string[]
  }
  const startedAt = performance.now()
  const {load} = options
  const tenants = load.organisations > 0 ? createTenants(options) : undefined
  const bed = await PlatformBed.startOn(await ProcessStore.start(), {
    boxes: options.boxes,
    engines: options.engines,
    plain: 4,
    usageWindowS: WINDOW_S,
    leaseTtlMs: LEASE_MS,
    limits: {memoryMb: 160, maxFds: 4096},
    bundle: {entry: `${options.build}/box.mjs`, flags: boxFlags()},
    ...(tenants ? {keys: true, tenants} : {})
  })
  process.on("exit", () => bed.boxes.forEach(({child}) => child.signal("SIGKILL")))
  for (const name of ["SIGTERM", "SIGINT"]) process.on(name, () => process.exit(1))
  const upS = (performance.now() - startedAt) / 1000
  console.log(
    `${options.boxes} boxes, ${options.kills} kills, ${load.callsPerS} calls/s, ` +
      `${load.organisations} organisations, store ${options.store ?? "sound"}; ` +
      `first start ${upS.toFixed(1)} s`
  )
  const callers = new Callers(bed, load)
  await sleep(CALM_S * 1000)
  console.log(`calm: ${callers.seconds.slice(2).map(formatShare).join(" ")}`)
  let from = Date.now()
  for (let kill = 0; kill < options.kills; kill++) {
    if (kill > 0) await sleep(options.intervalMs)
    await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
    if (kill === options.kills - 1) disturbStore(bed, options)
    await sleep(DOWN_MS)
    callers.restartClock()
    from = Date.now()
    for (const [index, box] of bed.boxes.entries()) {
      bed.restartBox(box)
      // A start blocks this process, whose callers go on.
      if (index % STARTS_PER_TURN === 0) await nextTurn()
    }
  }
  const samples = await watch(bed, from, options.seconds)
  await callers.stop()
  printSeconds(callers.seconds.slice(0, options.seconds), samples)
  printLogs(bed, from)
  await bed.stop()
}

function disturbStore(bed: StartsBed, {store, storeMs}: Options): void {
  if (store === undefined) return
  const faults = STORE_FAULTS[store]
  if (!faults) throw new Error(`--store: ${store} is not a trouble of the store`)
  bed.store.setFaults(faults)
  setTimeout(() => bed.store.setFaults({}), DOWN_MS + storeMs)
}

function createTenants({load, limitShare}: Options): BedTenant[] {
  const rate = load.callsPerS / load.organisations / limitShare
  return Array.from({length: load.organisations}, (_, index) => ({
    name: `org-${index}`,
    apiKeys: [`key-${index}`],
    unit: "requests",
    plainTokens: 1,
    ratePerS: rate,
    burst: rate
  }))
}

/** Takes a sample after each second since `from`, as far as that is not over. */
async function watch(bed: StartsBed, from: number, seconds: number): Promise<Sample[]> {
  const samples: Sample[] = []
  const passedS = Math.ceil((Date.now() - from) / 1000)
  for (let second = passedS; second <= seconds; second++) {
    await sleep(from + second * 1000 - Date.now())
    samples[second] = takeSample(bed)
  }
  return samples
}
