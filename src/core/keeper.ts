/** The transitions of a keeper: `(state, event, now) -> (state, effects)`. */
import {handleOrderResult, sendListOrders} from "./cell-orders.js"
import {
  queueRequest,
  handleDone,
  handleRelease,
  handleInventory
} from "./cell-requests.js"
import {syncEngines} from "./cell-engines.js"
import {emptyConfiguration, enginesOfCell} from "./configuration.js"
import {
  changeCell,
  changeRegister,
  adjustPendingOrders,
  type KeeperDraft,
  update
} from "./keeper-draft.js"
import {
  handleLinkDown,
  handleLinkUp,
  probeSilentEntries,
  handleProbeResult
} from "./keeper-entries.js"
import {
  claimShares,
  releaseIdleShares,
  handleLeaseLost,
  handleShareChange,
  handleShares
} from "./keeper-shares.js"
import type {KeeperEvent, KeeperOptions, KeeperState, KeeperStep} from "./keeper-state.js"
import {createOwnership, renewLease} from "./ownership.js"
import {
  removeExpiredKeys,
  openRegister,
  reserveKey,
  settleKey,
  handleWriteFailed,
  handleWriteDone,
  writeRegister
} from "./register.js"
import type {EntryMessage} from "../types/messages.js"

export function createKeeper(options: KeeperOptions): KeeperState {
  return {
    ownership: createOwnership(options.self),
    config: emptyConfiguration(),
    cells: new Map(),
    registers: new Map(),
    links: new Set(),
    entries: new Map(),
    silentSince: new Map(),
    probedAt: new Map(),
    goneSince: new Map(),
    leaving: new Set(),
    pendingOrders: new Map(),
    stopping: false,
    lastTickEpochMs: 0
  }
}

/** Applies an event; `now` is in monotonic milliseconds. */
export function stepKeeper(
  state: KeeperState,
  event: KeeperEvent,
  now: number,
  options: KeeperOptions
): KeeperStep {
  const draft: KeeperDraft = {state, now, options, effects: []}
  handleEvent(draft, event)
  return {state: draft.state, effects: draft.effects}
}

function handleEvent(draft: KeeperDraft, event: KeeperEvent): void {
  const {timing} = draft.options
  switch (event.type) {
    case "tick":
      return handleTick(draft, event.epochMs)
    case "config":
      return update(draft, {config: event.config})
    case "lease-renewed":
      return update(draft, {
        ownership: renewLease(draft.state.ownership, event.sentAt, timing)
      })
    case "lease-lost":
      return handleLeaseLost(draft)
    case "shares":
      return handleShares(draft, event)
    case "share-changed":
      return handleShareChange(draft, event)
    case "link-up":
      return handleLinkUp(draft, event.hello.incarnation, event.hello.role)
    case "link-down":
      return handleLinkDown(draft, event.entry)
    case "message":
      return handleMessage(draft, event.from, event.message)
    case "order-result":
      return handleOrderEvent(draft, event)
    case "register-opened":
      return changeRegister(draft, event.shard, event.fence, register =>
        openRegister(register, event.lines, draft.state.lastTickEpochMs, timing)
      )
    case "register-written":
      return changeRegister(draft, event.shard, event.fence, register =>
        event.result === "done" ? handleWriteDone(register) : handleWriteFailed(register)
      )
    case "probed":
      return handleProbeResult(draft, event.entry, event.verdict)
    case "box-list":
      return update(draft, {leaving: event.leaving})
    case "stop":
      return update(draft, {stopping: true})
  }
}

function handleTick(draft: KeeperDraft, epochMs: number): void {
  update(draft, {lastTickEpochMs: epochMs})
  claimShares(draft)
  for (const id of draft.state.cells.keys()) {
    changeCell(draft, id, cell => {
      syncEngines(cell, enginesOfCell(draft.state.config, id), draft.state.leaving)
      sendListOrders(cell)
    })
  }
  const {timing} = draft.options
  for (const [shard, register] of draft.state.registers) {
    changeRegister(draft, shard, register.fence, current =>
      writeRegister(removeExpiredKeys(current, epochMs, timing), draft.now, timing)
    )
  }
  probeSilentEntries(draft)
  if (draft.state.stopping) releaseIdleShares(draft)
}

function handleOrderEvent(
  draft: KeeperDraft,
  event: Extract<KeeperEvent, {type: "order-result"}>
): void {
  const {cell, engine, fence, order, result, sentAt} = event
  adjustPendingOrders(draft, cell, -1)
  if (draft.state.cells.get(cell)?.fence !== fence) return
  changeCell(draft, cell, cellDraft =>
    handleOrderResult(cellDraft, engine, order, result, sentAt, draft.options.timing)
  )
}

function handleMessage(draft: KeeperDraft, from: string, message: EntryMessage): void {
  switch (message.t) {
    case "inventory":
      return changeCell(draft, message.cell, cell => handleInventory(cell, from, message))
    case "ask":
      return changeCell(draft, message.cell, cell => queueRequest(cell, from, message))
    case "withdraw":
      return changeCell(draft, message.cell, cell => {
        cell.waiting.delete(message.request)
      })
    case "done":
      return changeCell(draft, message.cell, cell => handleDone(cell, from, message))
    case "release":
      return changeCell(draft, message.cell, cell => handleRelease(cell, from, message))
    case "reserve":
      return changeRegister(draft, message.shard, undefined, register =>
        reserveKey(
          register,
          from,
          message,
          draft.state.lastTickEpochMs,
          draft.options.timing
        )
      )
    case "settle":
      return changeRegister(draft, message.shard, undefined, register => ({
        state: settleKey(register, message),
        effects: []
      }))
    case "ping":
    case "fetch-config":
      return
  }
}
