/** Common parts of all processes of a box: identity, connections, logs and shutdown. */
import {randomUUID} from "node:crypto"
import {connectEtcd} from "./kv-etcd.js"
import {createLog, type Log} from "./log.js"
import {Metrics} from "./metrics.js"
import type {KvStore} from "../ports/ports.js"
import type {Role, Settings} from "../types/settings.js"
import type {PeerMessage} from "../types/messages.js"
import type {ConfigSync} from "./config-sync.js"

export interface ProcessContext {
  readonly settings: Settings
  readonly role: Role
  /** Unique to each start of the process. */
  readonly incarnation: string
  readonly kv: KvStore
  readonly log: Log
  readonly metrics: Metrics
}

export interface RunningProcess {
  /** Shuts down gracefully: work in progress is finished first. */
  readonly stop: () => void
  /** Resolves after a graceful shutdown and rejects after a crash. */
  readonly ended: Promise<void>
}

/** Creates the context of a process from its settings. */
export function createContext(settings: Settings, role: Role): ProcessContext {
  const incarnation = `${settings.box}-${role}-${randomUUID().slice(0, 8)}`
  const {endpoint, timeoutMs, watchMs} = settings.kv
  return {
    settings,
    role,
    incarnation,
    kv: connectEtcd({endpoint, timeoutMs, watchMs}),
    log: createLog(`sedge-${role}`, settings.log.level, {box: settings.box, incarnation}),
    metrics: new Metrics()
  }
}

/**
 * Handles messages that synchronise the configuration between peers. Returns false for
 * any other message.
 */
export function takeConfigMessage(
  sync: ConfigSync,
  message: PeerMessage,
  reply: (message: PeerMessage) => void
): boolean {
  switch (message.t) {
    case "ping":
      if (message.generation > sync.config.generation) {
        reply({t: "fetch-config", after: sync.config.generation})
      }
      return true
    case "fetch-config":
      reply(sync.pageAfter(message.after))
      return true
    case "config-page":
      sync.takePage(message)
      return true
    default:
      return false
  }
}
