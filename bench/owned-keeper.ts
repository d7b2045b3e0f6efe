/** Keeper of the real core for benchmarks. It owns one cell and has one linked entry. */
import {createKeeper, stepKeeper} from "../src/index.js"
import type {KeeperEffect, KeeperEvent, KeeperState} from "../src/index.js"
import type {KeeperOptions} from "../src/core/keeper-state.js"
import type {Configuration} from "../src/types/config.js"

const KEEPER_RECORD = {address: "", ops: "", dataCentre: "a"}

export class BenchKeeper {
  state: KeeperState
  now = 1_000

  constructor(
    private readonly options_: KeeperOptions,
    config: Configuration
  ) {
    this.state = createKeeper(options_)
    const keepers = new Map([[options_.self, KEEPER_RECORD]])
    this.step({type: "config", config})
    this.step({type: "shares", shares: new Map(), keepers, entries: new Map()})
    this.step({type: "lease-renewed", sentAt: this.now})
    for (const effect of this.step({type: "tick", epochMs: 0})) {
      if (effect.type !== "change-share") continue
      const result = {result: "done", revision: 1} as const
      this.step({type: "share-changed", change: effect.change, result})
    }
    this.link()
  }

  /** Executes one transition at `now`. */
  step(event: KeeperEvent): readonly KeeperEffect[] {
    const next = stepKeeper(this.state, event, this.now, this.options_)
    this.state = next.state
    return next.effects
  }

  private link(): void {
    const hello = {
      t: "hello" as const,
      protocol: 1,
      role: "entry" as const,
      incarnation: "entry-0",
      dataCentre: "a",
      generation: 1
    }
    this.step({type: "link-up", hello})
    const inventory = {
      t: "inventory" as const,
      cell: "cell-1",
      fence: 1,
      running: [],
      held: []
    }
    this.step({type: "message", from: "entry-0", message: inventory})
  }
}
