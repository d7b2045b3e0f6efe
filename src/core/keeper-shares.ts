/** Claims, loses and releases the shares of a keeper. */
import {createCell} from "./cell-state.js"
import {listCells} from "./configuration.js"
import {type KeeperDraft, update} from "./keeper-draft.js"
import {addEntries, sendOwned} from "./keeper-entries.js"
import {
  CELL_PREFIX,
  cellShare,
  type KeeperEvent,
  REGISTER_PREFIX,
  registerShare
} from "./keeper-state.js"
import {
  decideClaims,
  applyChangeResult,
  loseLease,
  applyShareRecords,
  releaseShare,
  type ShareChange,
  startChange
} from "./ownership.js"
import {createRegister} from "./register.js"
import {withEntry, withoutEntry} from "../utils/collections.js"

/** Claims the ownerless shares that this keeper should own now. */
export function claimShares(draft: KeeperDraft): void {
  if (draft.state.stopping) return
  // An order from an earlier term of this keeper may still arrive at its engine.
  const idle = listCells(draft.state.config).filter(
    cell => !hasPendingWork(draft, cellShare(cell))
  )
  const wanted = idle.map(cellShare)
  for (let shard = 0; shard < draft.options.registerShards; shard++) {
    wanted.push(registerShare(shard))
  }
  const {timing} = draft.options
  for (const change of decideClaims(draft.state.ownership, wanted, timing, draft.now)) {
    beginChange(draft, change)
  }
}

/** Applies the records read from the key-value service. */
export function handleShares(
  draft: KeeperDraft,
  {shares, keepers, entries}: Extract<KeeperEvent, {type: "shares"}>
): void {
  update(draft, {
    ownership: applyShareRecords(draft.state.ownership, shares, keepers, draft.now)
  })
  addEntries(draft, entries)
  syncOwned(draft)
}

/** Applies the result of a claim or release. */
export function handleShareChange(
  draft: KeeperDraft,
  {change, result}: Extract<KeeperEvent, {type: "share-changed"}>
): void {
  update(draft, {ownership: applyChangeResult(draft.state.ownership, change, result)})
  syncOwned(draft)
  if (draft.state.stopping) releaseIdleShares(draft)
}

/** Drops all shares after the loss of the lease, until they are claimed again. */
export function handleLeaseLost(draft: KeeperDraft): void {
  update(draft, {ownership: loseLease(draft.state.ownership)})
  syncOwned(draft)
}

/** Releases the shares without pending work during a planned stop, then stops. */
export function releaseIdleShares(draft: KeeperDraft): void {
  const {owned, pendingChanges: pending} = draft.state.ownership
  for (const share of owned.keys()) {
    if (pending.has(share) || hasPendingWork(draft, share)) continue
    const change = releaseShare(draft.state.ownership, share)
    if (change) beginChange(draft, change)
  }
  if (owned.size === 0) draft.effects.push({type: "stopped"})
}

function beginChange(draft: KeeperDraft, change: ShareChange): void {
  update(draft, {ownership: startChange(draft.state.ownership, change)})
  draft.effects.push({type: "change-share", change})
}

/** Creates the state of newly owned shares and drops that of lost ones. */
function syncOwned(draft: KeeperDraft): void {
  const {owned} = draft.state.ownership
  let changed = false
  for (const [share, fence] of owned)
    changed = createShare(draft, share, fence) || changed
  for (const [id, {fence}] of draft.state.cells) {
    if (owned.has(cellShare(id))) continue
    update(draft, {cells: withoutEntry(draft.state.cells, id)})
    draft.effects.push({type: "lost-share", share: cellShare(id), fence})
    changed = true
  }
  for (const [shard, {fence}] of draft.state.registers) {
    if (owned.has(shard)) continue
    update(draft, {registers: withoutEntry(draft.state.registers, shard)})
    draft.effects.push({type: "lost-share", share: shard, fence})
    changed = true
  }
  if (changed) for (const entry of draft.state.links) sendOwned(draft, entry)
}

function createShare(draft: KeeperDraft, share: string, fence: number): boolean {
  if (share.startsWith(CELL_PREFIX)) {
    const id = share.slice(CELL_PREFIX.length)
    if (draft.state.cells.get(id)?.fence === fence) return false
    const cell = createCell(id, fence, draft.now, draft.state.entries.keys())
    update(draft, {cells: withEntry(draft.state.cells, id, cell)})
  } else if (share.startsWith(REGISTER_PREFIX)) {
    if (draft.state.registers.get(share)?.fence === fence) return false
    const step = createRegister(share, fence)
    update(draft, {registers: withEntry(draft.state.registers, share, step.state)})
    draft.effects.push(...step.effects)
  }
  draft.effects.push({type: "took-share", share, fence})
  return true
}

function hasPendingWork(draft: KeeperDraft, share: string): boolean {
  if (!share.startsWith(CELL_PREFIX)) {
    const register = draft.state.registers.get(share)
    return register !== undefined && register.pending.length + register.writing.length > 0
  }
  return (draft.state.pendingOrders.get(share.slice(CELL_PREFIX.length)) ?? 0) > 0
}
