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

/** Options of a keeper, constant after its start. */
export interface KeeperOptions {
  readonly self: string
  readonly timing: Timing
  /** Number of register shards; must be equal on all boxes. */
  readonly registerShards: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  /** Returns the program of the active policy. */
  readonly findPolicy: (config: Configuration) => Policy
  /** Decides if the active policy fails. */
  readonly builtInPolicy: Policy
}

export interface KeeperState {
  readonly ownership: OwnershipState
  readonly config: Configuration
  readonly cells: ReadonlyMap<string, CellState>
  readonly registers: ReadonlyMap<string, RegisterState>
  /** Entries with a live link. */
  readonly links: ReadonlySet<string>
  /**
   * Entries that are registered in the key-value service or were linked. Undefined if no
   * record of the entry was read.
   */
  readonly entries: ReadonlyMap<string, ProcessRecord | undefined>
  /** Entries without a live link (silent entries), each with the start of its silence. */
  readonly silentSince: ReadonlyMap<string, number>
  /** Time of the last probe of each silent entry. */
  readonly probedAt: ReadonlyMap<string, number>
  /** Time at which an entry whose streams may still run was first found gone. */
  readonly goneSince: ReadonlyMap<string, number>
  /** Backend servers that are leaving, by the platform's box list. */
  readonly leaving: ReadonlySet<string>
  /** Number of pending orders, by cell. */
  readonly pendingOrders: ReadonlyMap<string, number>
  readonly stopping: boolean
  /** Wall-clock time of the last tick, for timestamps in the register. */
  readonly lastTickEpochMs: number
}

export type KeeperEvent =
  | {readonly type: "tick"; readonly epochMs: number}
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
      /** `unwritten`: failed or unanswered. `stale`: another owner has sealed the log. */
      readonly result: "done" | "unwritten" | "stale"
    }
  | {
      readonly type: "probed"
      readonly entry: string
      /** `gone` only if another process answers at the address, or nothing listens. */
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

/** Prefixes of share names. A share (cell or register shard) is a unit of ownership. */
export const CELL_PREFIX = "cell:"
export const REGISTER_PREFIX = "once:"

export function cellShare(cell: string): string {
  return CELL_PREFIX + cell
}

export function registerShare(shard: number): string {
  return REGISTER_PREFIX + shard
}
