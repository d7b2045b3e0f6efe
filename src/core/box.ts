/**
 * The state machine of a whole box, combining its entry and its keeper. Each production
 * process runs one of these roles; a benchmark may run many whole boxes in one process.
 */
import {createEntry, stepEntry} from "./entry.js"
import type {EntryEffect, EntryEvent, EntryOptions, EntryState} from "./entry-state.js"
import {createKeeper, stepKeeper} from "./keeper.js"
import type {
  KeeperEffect,
  KeeperEvent,
  KeeperOptions,
  KeeperState
} from "./keeper-state.js"

export interface BoxOptions {
  readonly entry: EntryOptions
  readonly keeper: KeeperOptions
  readonly seed: number
}

export interface BoxState {
  readonly entry: EntryState
  readonly keeper: KeeperState
}

export type BoxEvent =
  | {readonly role: "entry"; readonly event: EntryEvent}
  | {readonly role: "keeper"; readonly event: KeeperEvent}

export type BoxEffect =
  | {readonly role: "entry"; readonly effect: EntryEffect}
  | {readonly role: "keeper"; readonly effect: KeeperEffect}

export interface BoxStep {
  readonly state: BoxState
  readonly effects: readonly BoxEffect[]
}

export function createBox(options: BoxOptions): BoxState {
  return {entry: createEntry(options.seed), keeper: createKeeper(options.keeper)}
}

/** Applies one event; `now` is monotonic milliseconds, simulated or real. */
export function stepBox(
  state: BoxState,
  boxEvent: BoxEvent,
  now: number,
  options: BoxOptions
): BoxStep {
  if (boxEvent.role === "entry") {
    const {state: entry, effects} = stepEntry(
      state.entry,
      boxEvent.event,
      now,
      options.entry
    )
    return {
      state: {...state, entry},
      effects: effects.map(effect => ({role: "entry", effect}))
    }
  }
  const {state: keeper, effects} = stepKeeper(
    state.keeper,
    boxEvent.event,
    now,
    options.keeper
  )
  return {
    state: {...state, keeper},
    effects: effects.map(effect => ({role: "keeper", effect}))
  }
}
