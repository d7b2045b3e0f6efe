/**
 * Load orders without an answer that an engine may still execute. Within one incarnation
 * the engine's sequence number ensures that it executes only one of such an order and the
 * next. The next incarnation counts from zero, and executes an order to the previous one
 * if it arrives when the numbers match. Until then the slot that the order may take is
 * kept free, since an engine crashes when it loads more adapters than it has slots.
 */
import type {FleetEngine, FleetOrder, UnconfirmedLoad} from "./placement-state.js"

/** Latest time after sending at which an order without an answer may be executed. */
const MAX_EXECUTION_DELAY_MS = 10_000

export function recordUnconfirmedLoad(
  engine: FleetEngine,
  order: FleetOrder,
  now: number
): void {
  if (order.operation !== "load" || order.adapter === undefined) return
  const expectedSequence = engine.sequence ?? 0
  // Of orders with the same sequence number at most one is executed.
  const otherLoads = engine.unconfirmedLoads.filter(
    each => each.expectedSequence !== expectedSequence
  )
  engine.unconfirmedLoads = [
    ...otherLoads,
    {expectedSequence, expiresAt: now + MAX_EXECUTION_DELAY_MS}
  ]
}

/** Returns the loads sent to previous incarnations that the next one may execute. */
export function inheritUnconfirmedLoads(
  previous: FleetEngine | undefined,
  now: number
): readonly UnconfirmedLoad[] {
  if (!previous) return []
  if (previous.pendingOrder) recordUnconfirmedLoad(previous, previous.pendingOrder, now)
  return [...previous.inheritedLoads, ...previous.unconfirmedLoads].filter(
    ({expiresAt}) => expiresAt > now
  )
}

/** Removes loads that are too old or whose sequence number the engine has passed. */
export function expireInheritedLoads(engine: FleetEngine, now: number): void {
  const {sequence = 0, inheritedLoads} = engine
  if (inheritedLoads.length === 0) return
  engine.inheritedLoads = inheritedLoads.filter(
    ({expectedSequence, expiresAt}) => expiresAt > now && expectedSequence >= sequence
  )
}
