/**
 * The public API: the pure state machines of the processes, for benchmarks that drive
 * them in simulated time. See docs/design/core.md.
 */
export {createKeeper, stepKeeper} from "./core/keeper.js"
export type {
  KeeperEffect,
  KeeperEvent,
  KeeperOptions,
  KeeperState,
  KeeperStep
} from "./core/keeper-state.js"
export {createEntry, stepEntry} from "./core/entry.js"
export type {
  EntryEffect,
  EntryEvent,
  EntryOptions,
  EntryState,
  EntryStep
} from "./core/entry-state.js"
export {createBox, stepBox} from "./core/box.js"
export type {BoxEffect, BoxEvent, BoxOptions, BoxState, BoxStep} from "./core/box.js"
export {DEFAULT_TIMING, type Timing} from "./core/timing.js"
export type {Policy, EngineView, ModelView, RequestView} from "./core/policy.js"
export {
  BUILT_IN_POLICY,
  checkPolicy,
  findPolicy,
  POLICY_PROGRAMS
} from "./plugins/policies.js"
export {applyChanges, emptyConfiguration, restoreSnapshot} from "./core/configuration.js"
export {checkChange} from "./core/changes.js"
