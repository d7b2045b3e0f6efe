/** The state, events and effects of a keeper: the owner of cells and register shards. */
import type {Configuration} from "../types/config.js"
import type {EntryMessage, Hello, KeeperMessage} from "../types/messages.js"
import type {CellEffect, CellState, EngineOrder} from "./cell-state.js"
import type {OrderResult} from "./cell-orders.js"
import type {
  OwnershipState,
  ProcessRecord,
  ShareChange,
  ShareRecord,
  ShareResult
} from "./ownership.js"
import type {RegisterEffect, RegisterLine, RegisterState} from "./register.js"
import type {Policy} from "./policy.js"
import type {Timing} from "./timing.js"

/** What a keeper is told once, from its settings. */
export interface KeeperOptions {
  readonly self: string
  readonly timing: Timing
  /** Shards of the register; the same on every box. */
  readonly registerShards: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  /** Finds the program of the policy in force. */
  readonly findPolicy: (config: Configuration) => Policy
  /** Decides where the policy in force fails. */
  readonly builtInPolicy: Policy
}

export interface KeeperState {
  readonly ownership: OwnershipState
  readonly config: Configuration
  readonly cells: ReadonlyMap<string, CellState>
  readonly registers: ReadonlyMap<string, RegisterState>
  /** Entries with a live link. */
  readonly links: ReadonlySet<string>
  /** Entries the key-value service knows, or that were linked. */
  readonly entries: ReadonlyMap<string, ProcessRecord | undefined>
  /** Entries without a live link, since when. */
  readonly silentSince: ReadonlyMap<string, number>
  /** Entries being looked for. */
  readonly probedAt: ReadonlyMap<string, number>
  /** When an entry was first found gone while engines may still run its streams. */
  readonly goneSince: ReadonlyMap<string, number>
  readonly leaving: ReadonlySet<string>
  /** Orders under way, by cell. */
  readonly orders: ReadonlyMap<string, number>
  readonly stopping: boolean
  /** The last time in epoch milliseconds that was told, for the register. */
  readonly epoch: number
}

export type KeeperEvent =
  | {readonly type: "tick"; readonly epoch: number}
  | {readonly type: "config"; readonly config: Configuration}
  | {readonly type: "lease-renewed"; readonly sentAt: number}
  | {readonly type: "lease-lost"}
  | {
      readonly type: "shares"
      readonly shares: ReadonlyMap<string, ShareRecord>
      readonly keepers: ReadonlyMap<string, ProcessRecord>
      readonly entries: ReadonlyMap<string, ProcessRecord>
    }
  | {
      readonly type: "share-changed"
      readonly change: ShareChange
      readonly result: ShareResult
    }
  | {readonly type: "link-up"; readonly hello: Hello}
  | {readonly type: "link-down"; readonly entry: string}
  | {readonly type: "message"; readonly from: string; readonly message: EntryMessage}
  | {
      readonly type: "order-result"
      readonly cell: string
      readonly engine: string
      readonly fence: number
      readonly order: EngineOrder
      readonly sentAt: number
      readonly result: OrderResult
    }
  | {
      readonly type: "register-opened"
      readonly shard: string
      readonly fence: number
      readonly lines: readonly RegisterLine[]
    }
  | {
      readonly type: "register-written"
      readonly shard: string
      readonly fence: number
      /** `stale`: another owner has sealed the log. */
      readonly result: "done" | "unwritten" | "stale"
    }
  | {
      readonly type: "probed"
      readonly entry: string
      /** `gone` only on evidence: another process answers there, or nothing listens. */
      readonly verdict: "gone" | "alive" | "silent"
    }
  | {readonly type: "box-list"; readonly leaving: ReadonlySet<string>}
  | {readonly type: "stop"}

export type KeeperEffect =
  | CellEffect
  | RegisterEffect
  | {readonly type: "send"; readonly to: string; readonly message: KeeperMessage}
  | {readonly type: "change-share"; readonly change: ShareChange}
  | {readonly type: "forget-entry"; readonly entry: string}
  | {readonly type: "took-share"; readonly share: string; readonly fence: number}
  | {readonly type: "lost-share"; readonly share: string; readonly fence: number}
  | {readonly type: "stopped"}

export interface KeeperStep {
  readonly state: KeeperState
  readonly effects: readonly KeeperEffect[]
}

/** The share names of cells and register shards. */
export const CELL_PREFIX = "cell:"
export const REGISTER_PREFIX = "once:"

export function cellShare(cell: string): string {
  return CELL_PREFIX + cell
}

export function registerShare(shard: number): string {
  return REGISTER_PREFIX + shard
}
