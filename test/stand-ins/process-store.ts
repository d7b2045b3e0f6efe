/**
 * The stand-in of the platform's store in a process of its own, so that boxes, callers and
 * the store compete for processors as processes do.
 */
import {type ChildProcess, fork} from "node:child_process"
import {fileURLToPath} from "node:url"
import type {StoreFaults} from "./platform-store.js"

const PROGRAM = fileURLToPath(new URL("../support/store-process.js", import.meta.url))

/** What the store counted since its start. */
export interface StoreStatistics {
  readonly connections: number
  /** Ended calls, by their path and by whether they were answered. */
  readonly ended: Readonly<Record<string, number>>
  /** Processor time of the process, seconds. */
  readonly processorS: number
  /** Longest delay of its event loop since the last report, milliseconds. */
  readonly delayMs: number
}

export type ToStore =
  | {readonly t: "write"; readonly key: string; readonly value: object}
  | {readonly t: "remove"; readonly key: string}
  | {readonly t: "faults"; readonly faults: StoreFaults}

export type FromStore =
  | {readonly t: "started"; readonly address: string}
  | {readonly t: "statistics"; readonly statistics: StoreStatistics}
  /** Value of the leader's key. Undefined if it is absent. */
  | {readonly t: "leader"; readonly value: string | undefined}

/** Key that the process reports as it changes. */
export const REPORTED_KEY = "sedge/leader"

export class ProcessStore {
  /** What the store counted until its last report. */
  statistics: StoreStatistics = {connections: 0, ended: {}, processorS: 0, delayMs: 0}
  private leader_: string | undefined
  private address_ = ""
  private readonly child_: ChildProcess

  private constructor() {
    this.child_ = fork(PROGRAM, [], {stdio: ["ignore", "inherit", "inherit", "ipc"]})
  }

  static start(): Promise<ProcessStore> {
    const store = new ProcessStore()
    return new Promise(resolve => {
      store.child_.on("message", (message: FromStore) => {
        if (message.t === "statistics") store.statistics = message.statistics
        else if (message.t === "leader") store.leader_ = message.value
        else {
          store.address_ = message.address
          resolve(store)
        }
      })
    })
  }

  get address(): string {
    return this.address_
  }

  write(key: string, value: object): void {
    this.tell({t: "write", key, value})
  }

  remove(key: string): void {
    this.tell({t: "remove", key})
  }

  /** Injects faults in place of the earlier ones. */
  setFaults(faults: StoreFaults): void {
    this.tell({t: "faults", faults})
  }

  /** Returns the value of the leader's key, the only one that the process reports. */
  read(key: string): string | undefined {
    return key === REPORTED_KEY ? this.leader_ : undefined
  }

  stop(): void {
    this.child_.kill("SIGKILL")
  }

  private tell(message: ToStore): void {
    if (this.child_.connected) this.child_.send(message, () => undefined)
  }
}
