/**
 * Orders to engines that nobody waits for any more and that may be carried out yet. Within one life of
 * an engine its count sees to it that only one of an order and the next is done. Its next life counts
 * from nothing, so that an order of the last one is carried out when the count comes by: until then
 * the place that it may take is kept free, since an engine that is loaded past its places falls.
 */
import type {FleetEngine, FleetOrder, StrayOrder} from "./placement-state.js"

/** Orders without an answer are carried out some seconds late at most, milliseconds. */
const STRAY_MS = 10_000

/** A load went out, and its answer did not come. */
export function noteStray(engine: FleetEngine, order: FleetOrder, now: number): void {
  if (order.operation !== "load" || order.adapter === undefined) return
  const expectedSequence = engine.sequence ?? 0
  // Those with the same count are tries of one order: one of them is done at most.
  const others = engine.ownStrays.filter(
    each => each.expectedSequence !== expectedSequence
  )
  engine.ownStrays = [...others, {expectedSequence, until: now + STRAY_MS}]
}

/** The orders of an engine's last life that may reach its next one. */
export function keepStrays(
  last: FleetEngine | undefined,
  now: number
): readonly StrayOrder[] {
  if (!last) return []
  if (last.order) noteStray(last, last.order, now)
  return [...last.strays, ...last.ownStrays].filter(({until}) => until > now)
}

/** Drops those that can't be carried out any more: the count is past them, or they are too old. */
export function dropStrays(engine: FleetEngine, now: number): void {
  const {sequence = 0, strays} = engine
  if (strays.length === 0) return
  engine.strays = strays.filter(
    ({expectedSequence, until}) => until > now && expectedSequence >= sequence
  )
}
