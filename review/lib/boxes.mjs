/** Starts boxes with the command and the template of the deploy file. */
import {spawn} from "node:child_process"
import {once} from "node:events"
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {request} from "node:http"
import {createServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))
const DEPLOY = readFileSync(join(ROOT, "deploy/system.toml"), "utf8")
const RUN = /^run = "(.*)"$/m.exec(DEPLOY)[1]
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]), "utf8")

/** Bounds of cotejo-comun, from its sheet in SYSTEM.md. */
export const BOUNDS = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 58,
  requireFencing: true,
  leaseMs: 3000
}

export class Box {
  output = ""
  child = undefined

  constructor(name, zone, store, bounds = {}) {
    Object.assign(this, {name, zone, store, bounds})
  }

  async start() {
    if (!this.dir) {
      const ports = await freePorts(4)
      this.dir = mkdtempSync(join(tmpdir(), "review-"))
      this.file = join(this.dir, "boot")
      const [front, ready, first, last] = ports
      this.front = `127.0.0.1:${front}`
      this.ready = `127.0.0.1:${ready}`
      const settings = {
        nodeName: this.name,
        zone: this.zone,
        ip: "127.0.0.1",
        internalPorts: [first, last],
        listen: {front: this.front, ready: this.ready},
        provider: {address: this.store},
        bounds: {...BOUNDS, ...this.bounds},
        limits: {cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4100}
      }
      writeFileSync(this.file, fill(TEMPLATE, settings))
    }
    const [program, ...args] = RUN.split(" ")
    const {PATH, HOME, LANG} = process.env
    this.child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: {PATH, HOME, LANG, SEDGEGLADE_NODE_FILE: this.file}
    })
    const append = chunk => (this.output += chunk.toString())
    this.child.stdout.on("data", append)
    this.child.stderr.on("data", append)
  }

  get isRunning() {
    return this.child && this.child.exitCode === null && this.child.signalCode === null
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name)
  }

  async kill() {
    if (!this.isRunning) return
    const exit = once(this.child, "exit")
    this.child.kill("SIGKILL")
    await exit
  }

  async end() {
    await this.kill()
    if (this.dir) rmSync(this.dir, {recursive: true, force: true})
  }

  isReady() {
    return new Promise(resolve => {
      const req = request(`http://${this.ready}/ready`, {timeout: 500}, res => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on("timeout", () => req.destroy())
      req.on("error", () => resolve(false))
      req.end()
    })
  }

  async untilReady(limitMs = 15_000) {
    const until = performance.now() + limitMs
    while (!(await this.isReady())) {
      if (performance.now() > until) {
        throw new Error(`${this.name} is not ready: ${this.output.slice(-2_000)}`)
      }
      await pause(50)
    }
  }
}

export function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Fills in the template as DEPLOY.md says, as far as ours needs it. */
function fill(template, settings) {
  const valueOf = path => path.split(".").reduce((value, key) => value?.[key], settings)
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, text) =>
      valueOf(path) ? text : ""
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = valueOf(path)
      return json ? JSON.stringify(value) : String(value ?? "")
    })
}

/** Ports below the range that systems give to outgoing connections. */
const FIRST_PORT = 12_000
const PORTS = 18_000

async function freePorts(count) {
  const ports = []
  let next = FIRST_PORT + Math.floor(Math.random() * PORTS)
  while (ports.length < count) {
    if (await canListen(next)) ports.push(next)
    next = next + 1 < FIRST_PORT + PORTS ? next + 1 : FIRST_PORT
  }
  return ports
}

function canListen(port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once("error", () => resolve(false))
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)))
  })
}
