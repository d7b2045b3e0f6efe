/** Child processes of tests: started with node, ended by id, their output kept for reading. */
import {type ChildProcess, spawn} from "node:child_process"
import {once} from "node:events"
import {fileURLToPath} from "node:url"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))
const MAX_OUTPUT = 4_000_000

export class Child {
  output = ""
  /** `end` was called: its connections may break before its exit is seen. */
  ending = false
  private readonly process_: ChildProcess

  /** `script` is a path below the build's root. */
  constructor(
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {}
  ) {
    this.process_ = spawn(process.execPath, [ROOT + script, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: {...process.env, NODE_OPTIONS: "", ...env}
    })
    const keep = (chunk: Buffer) => {
      this.output = (this.output + chunk.toString()).slice(-MAX_OUTPUT)
    }
    this.process_.stdout?.on("data", keep)
    this.process_.stderr?.on("data", keep)
  }

  get pid(): number {
    return this.process_.pid ?? 0
  }

  get exitCode(): number | null {
    return this.process_.exitCode
  }

  get ended(): boolean {
    return this.process_.exitCode !== null || this.process_.signalCode !== null
  }

  /** The signal that ended it, if one did. */
  get endedBy(): NodeJS.Signals | null {
    return this.process_.signalCode
  }

  signal(name: NodeJS.Signals): void {
    if (!this.ended) this.process_.kill(name)
  }

  async end(name: NodeJS.Signals = "SIGKILL"): Promise<void> {
    this.ending = true
    if (this.ended) return
    const exit = once(this.process_, "exit")
    this.process_.kill(name)
    await exit
  }
}
