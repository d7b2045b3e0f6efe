/** Child processes of tests. Each is started with Node.js, and its output is kept. */
import {type ChildProcess, spawn} from "node:child_process"
import {once} from "node:events"
import {resolve} from "node:path"
import {fileURLToPath} from "node:url"
import {TASKSET} from "./processors.js"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))
const MAX_OUTPUT = 4_000_000

/** Variables that the platform leaves to a process. Others can make its start dearer. */
const PLATFORM_VARIABLES = ["PATH", "HOME", "JAVA_HOME", "LANG"]

export class Child {
  output = ""
  /** Whether `end` was called. Connections may break before the exit event arrives. */
  ending = false
  private readonly process_: ChildProcess

  /**
   * `script` is absolute or relative to the build root; `flags` are those of Node.js. With
   * `processors` the process is bound to these from its start.
   */
  constructor(
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
    flags: readonly string[] = [],
    processors?: readonly number[]
  ) {
    const command = [process.execPath, ...flags, resolve(ROOT, script), ...args]
    const [program = "", ...rest] = processors
      ? [TASKSET, "-c", processors.join(","), ...command]
      : command
    this.process_ = spawn(program, rest, {
      stdio: ["ignore", "pipe", "pipe"],
      env: {...platformVariables(), ...env}
    })
    const appendOutput = (chunk: Buffer) => {
      this.output = (this.output + chunk.toString()).slice(-MAX_OUTPUT)
    }
    this.process_.stdout?.on("data", appendOutput)
    this.process_.stderr?.on("data", appendOutput)
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

  /** Signal that ended the process. Null if there was none. */
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

function platformVariables(): Record<string, string> {
  return Object.fromEntries(
    PLATFORM_VARIABLES.flatMap(name => {
      const value = process.env[name]
      return value === undefined ? [] : [[name, value]]
    })
  )
}
