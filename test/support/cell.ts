/** A cell of the real core with engines that have adapters loaded, for tests of its decisions. */
import {handleOrderResult, type OrderResult} from "../../src/core/cell-orders.js"
import {queueRequest} from "../../src/core/cell-requests.js"
import {syncEngines} from "../../src/core/cell-engines.js"
import {scheduleCell} from "../../src/core/cell-schedule.js"
import {type CellDraft, createCell, createCellDraft} from "../../src/core/cell-state.js"
import {emptyConfiguration} from "../../src/core/configuration.js"
import type {Policy} from "../../src/core/policy.js"
import {BUILT_IN_POLICY, DEFAULT_TIMING} from "../../src/index.js"
import type {Configuration, ModelEngine, RequestClass} from "../../src/types/config.js"

export type Listed = Omit<Extract<OrderResult, {ok: true}>, "ok" | "models">

export interface TestCellOptions {
  readonly engines: readonly string[]
  readonly slots: number
  /** Loaded on every engine. */
  readonly models: readonly string[]
  readonly policy?: Policy
  readonly config?: Configuration
}

export interface TestAsk {
  readonly model?: string
  readonly organisation?: string
  readonly class?: RequestClass
  readonly prefix?: string
}

const NOW = 1_000

export class TestCell {
  readonly cell: CellDraft = createCellDraft(createCell("cell-1", 1, NOW, []), NOW)

  constructor(private readonly options_: TestCellOptions) {
    const server: ModelEngine = {
      kind: "model-engine",
      baseModel: "base",
      address: "10.0.0.1:1",
      dataCentre: "a",
      slots: options_.slots,
      maxBatch: 8,
      checksFences: true,
      cell: "cell-1"
    }
    const servers = new Map(options_.engines.map(id => [id, server]))
    syncEngines(this.cell, servers, new Set())
    for (const id of options_.engines) this.list(id)
  }

  /** An engine's answer to a list. */
  list(engine: string, listed: Listed = {}): void {
    const order = {order: "list", cacheAfter: 0} as const
    const result = {ok: true, models: this.options_.models, ...listed} as const
    handleOrderResult(this.cell, engine, order, result, NOW, DEFAULT_TIMING)
  }

  /** Asks for a request and makes a pass; the engine it was granted. */
  place(request: string, ask: TestAsk = {}): string | undefined {
    queueRequest(this.cell, "entry-0", {
      t: "ask",
      cell: "cell-1",
      request,
      organisation: ask.organisation ?? "t",
      class: ask.class ?? "till",
      model: ask.model ?? this.options_.models[0] ?? "",
      prefix: ask.prefix ?? "",
      patienceMs: 60_000
    })
    this.pass()
    return this.cell.running.get(request)?.engine
  }

  /** The names of the orders given so far. */
  orders(): string[] {
    return this.cell.effects.flatMap(effect =>
      effect.type === "order" ? [effect.order.order] : []
    )
  }

  private pass(): void {
    scheduleCell(this.cell, {
      config: this.options_.config ?? emptyConfiguration(),
      policy: this.options_.policy ?? BUILT_IN_POLICY,
      builtIn: BUILT_IN_POLICY,
      timing: DEFAULT_TIMING,
      mayEvict: true,
      loadsPerSecond: 1,
      loadsAtOnce: 4,
      silentSince: new Map()
    })
  }
}
