/** A draft of a keeper's state for one transition, with its cells and registers. */
import {engineFractionOfCell} from "./configuration.js"
import type {CellContext} from "./cell-context.js"
import {scheduleCell} from "./cell-schedule.js"
import {type CellDraft, commitCellDraft, createCellDraft} from "./cell-state.js"
import type {KeeperEffect, KeeperOptions, KeeperState} from "./keeper-state.js"
import {cellShare} from "./keeper-state.js"
import {holdsLease} from "./ownership.js"
import {type RegisterState, type RegisterStep, writeRegister} from "./register.js"
import {withEntry} from "../utils/collections.js"

export interface KeeperDraft {
  readonly now: number
  readonly options: KeeperOptions
  state: KeeperState
  readonly effects: KeeperEffect[]
}

export function update(draft: KeeperDraft, change: Partial<KeeperState>): void {
  draft.state = {...draft.state, ...change}
}

/** Updates a cell and runs a scheduling pass over it. */
export function changeCell(
  draft: KeeperDraft,
  id: string,
  change: (cell: CellDraft) => void
): void {
  const cell = draft.state.cells.get(id)
  if (!cell) return
  const cellDraft = createCellDraft(cell, draft.now)
  change(cellDraft)
  scheduleCell(cellDraft, createContext(draft, id))
  update(draft, {cells: withEntry(draft.state.cells, id, commitCellDraft(cellDraft))})
  for (const effect of cellDraft.effects) {
    if (effect.type === "order") adjustPendingOrders(draft, id, 1)
    draft.effects.push(effect)
  }
}

/** Updates every owned cell. */
export function changeCells(draft: KeeperDraft, change: (cell: CellDraft) => void): void {
  for (const id of draft.state.cells.keys()) changeCell(draft, id, change)
}

/** Adjusts the number of pending orders of a cell. */
export function adjustPendingOrders(draft: KeeperDraft, cell: string, by: number): void {
  const count = (draft.state.pendingOrders.get(cell) ?? 0) + by
  update(draft, {
    pendingOrders: withEntry(draft.state.pendingOrders, cell, Math.max(0, count))
  })
}

/**
 * Updates a register shard, if it is owned (under `fence`, if given), and writes its
 * pending lines when a write is due.
 */
export function changeRegister(
  draft: KeeperDraft,
  shard: string,
  fence: number | undefined,
  change: (register: RegisterState) => RegisterStep
): void {
  const register = draft.state.registers.get(shard)
  if (!register || (fence !== undefined && register.fence !== fence)) return
  const step = change(register)
  const written = writeRegister(step.state, draft.now, draft.options.timing)
  update(draft, {registers: withEntry(draft.state.registers, shard, written.state)})
  draft.effects.push(...step.effects, ...written.effects)
}

function createContext({state, options, now}: KeeperDraft, cell: string): CellContext {
  const share = engineFractionOfCell(state.config, cell)
  const owns = state.ownership.owned.has(cellShare(cell))
  return {
    config: state.config,
    policy: options.findPolicy(state.config),
    builtIn: options.builtInPolicy,
    timing: options.timing,
    mayEvict: owns && !state.stopping && holdsLease(state.ownership, now),
    loadsPerSecond: options.loadsPerSecond * share,
    loadsAtOnce: state.stopping
      ? 0
      : Math.max(1, Math.floor(options.loadsAtOnce * share)),
    silentSince: state.silentSince
  }
}
