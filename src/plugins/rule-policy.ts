/** The policy program `rules`: evaluates operators' rules. */
import type {EngineView, ModelView, Policy} from "../core/policy.js"
import type {RuleTexts} from "../types/config.js"
import {compileRules, type Rule} from "./rules.js"

/**
 * Creates a policy of rules. `builtIn` decides if a rule is missing or does not compile.
 * `checkPolicy` rejects rules that do not compile.
 */
export function createRulePolicy(texts: RuleTexts, builtIn: Policy): Policy {
  const {serve, load, evict, copy, slackMs, limit} = compileRules(texts).rules
  return {
    name: "rules",
    rankServing: serve
      ? (engines, request) => rankEngines(serve, engines, request)
      : builtIn.rankServing,
    rankLoading: load
      ? (engines, request) => rankEngines(load, engines, request)
      : builtIn.rankLoading,
    rankVictims: evict
      ? (engine, now) => rankAdapters(evict, engine, now)
      : builtIn.rankVictims,
    reservedLoads: builtIn.reservedLoads,
    wantsCopy: copy ? demand => copy({demand}) === true : builtIn.wantsCopy,
    slackMs: slackMs
      ? requestClass => Number(slackMs({request: {class: requestClass}}))
      : builtIn.slackMs,
    limit: limit
      ? (organisation, requestClass) =>
          Number(limit({request: {organisation, class: requestClass}}))
      : builtIn.limit
  }
}

function rankEngines(
  rule: Rule,
  engines: readonly EngineView[],
  request: object
): string[] {
  return rank(engines, engine => rule({engine: toEngineValues(engine), request})).map(
    ({id}) => id
  )
}

function rankAdapters(rule: Rule, engine: EngineView, now: number): string[] {
  const engineValues = toEngineValues(engine)
  const score = ([name, model]: [string, ModelView]) =>
    rule({engine: engineValues, adapter: toAdapterValues(name, model, now)})
  return rank([...engine.models], score).map(([name]) => name)
}

function toAdapterValues(name: string, model: ModelView, now: number): object {
  const {running, waiting, heat, copies, lastUsed} = model
  return {name, running, waiting, heat, copies, idleMs: now - lastUsed}
}

/** Sorts by score, lowest first. Scores each item once. */
function rank<T>(items: readonly T[], score: (item: T) => number | boolean): T[] {
  return items
    .map(item => ({item, score: Number(score(item))}))
    .sort((a, b) => a.score - b.score)
    .map(({item}) => item)
}

/** Copies each field, because a rest pattern is slower than the evaluation of a rule. */
function toEngineValues(engine: EngineView): object {
  const {id, dataCentre, slots, maxBatch, running, foreign} = engine
  const {freeSlots, cachesPrefix, models} = engine
  const coldest = lowestPopularityPerCopy(models)
  return {
    id,
    dataCentre,
    slots,
    maxBatch,
    running,
    foreign,
    freeSlots,
    cachesPrefix,
    coldest
  }
}

/** Returns the lowest popularity per copy of an engine's adapters. 0 if it has none. */
export function lowestPopularityPerCopy(models: EngineView["models"]): number {
  if (models.size === 0) return 0
  let lowest = Infinity
  for (const {heat, copies} of models.values()) lowest = Math.min(lowest, heat / copies)
  return lowest
}
