/** `npm run bench -- rules`: compares decision times of rules and built-in program. */
import {BUILT_IN_POLICY} from "../src/index.js"
import type {EngineView, Policy, RequestView} from "../src/core/policy.js"
import {createRulePolicy} from "../src/plugins/rule-policy.js"
import {compileRules} from "../src/plugins/rules.js"
import {measureHeapBytes} from "./measure.js"

const ENGINES = 16
const SLOTS = 8
const CALLS = 20_000
const ROUNDS = 5

/** The built-in program expressed as rules. */
const TEXTS = {
  serve:
    "(engine.running + engine.foreign) / engine.maxBatch - (engine.cachesPrefix ? 0.15 : 0.0)",
  evict: "adapter.heat / adapter.copies"
}

const REQUEST: RequestView = {
  organisation: "t",
  class: "till",
  model: "base/x@1",
  waitedMs: 5
}

function makeEngine(index: number): EngineView {
  const models = new Map(
    Array.from({length: SLOTS}, (_, slot) => [
      `base/a${slot}@1`,
      {running: slot, waiting: 0, lastUsed: slot, heat: (slot * 7) % 5, copies: 1}
    ])
  )
  return {
    id: `engine-${index}`,
    dataCentre: "a",
    slots: SLOTS,
    maxBatch: 64,
    running: (index * 5) % 17,
    foreign: 0,
    cachesPrefix: index === 3,
    freeSlots: 0,
    models
  }
}

/** Returns the time per call in microseconds, the median of the rounds. */
function measure(work: () => unknown): number {
  const rounds = Array.from({length: ROUNDS}, () => {
    const startedAt = performance.now()
    for (let call = 0; call < CALLS; call++) work()
    return ((performance.now() - startedAt) / CALLS) * 1000
  })
  return rounds.sort((a, b) => a - b)[ROUNDS >> 1] ?? 0
}

export function benchRules(): void {
  const engines = Array.from({length: ENGINES}, (_, index) => makeEngine(index))
  const [engine] = engines
  const before = measureHeapBytes()
  const compiled = Array.from({length: 100}, () => compileRules(TEXTS))
  const heapKb = (measureHeapBytes() - before) / compiled.length / 1024
  const time = (policy: Policy) => ({
    "rank 16 engines us": measure(() => policy.rankServing(engines, REQUEST)),
    "rank 8 victims us": measure(() => engine && policy.rankVictims(engine, 100))
  })
  console.table({
    "built in": time(BUILT_IN_POLICY),
    rules: time(createRulePolicy(TEXTS, BUILT_IN_POLICY))
  })
  console.log(
    `a compiled policy of ${Object.keys(TEXTS).length} rules: ${heapKb.toFixed(1)} KB`
  )
}
