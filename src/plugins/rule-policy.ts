/** The policy program `rules`: decisions by operators' expressions, the rest by the built-in one. */
import type {EngineView, ModelView, Policy} from "../core/policy.js"
import type {RuleTexts} from "../types/config.js"
import {compileRules, type Rule} from "./rules.js"

/** A policy of rules; rules that do not compile are left to `builtIn`, as the check refuses them. */
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
  return rank(engines, engine => rule({engine: showEngine(engine), request})).map(
    ({id}) => id
  )
}

function rankAdapters(rule: Rule, engine: EngineView, now: number): string[] {
  const shown = showEngine(engine)
  const score = ([name, model]: [string, ModelView]) =>
    rule({engine: shown, adapter: showAdapter(name, model, now)})
  return rank([...engine.models], score).map(([name]) => name)
}

function showAdapter(name: string, model: ModelView, now: number): object {
  const {running, waiting, heat, copies, lastUsed} = model
  return {name, running, waiting, heat, copies, idleMs: now - lastUsed}
}

/** Each item is scored once; lower goes first. */
function rank<T>(items: readonly T[], score: (item: T) => number | boolean): T[] {
  return items
    .map(item => ({item, score: Number(score(item))}))
    .sort((a, b) => a.score - b.score)
    .map(({item}) => item)
}

/** Field by field: to leave one out by a rest pattern costs more than the rule itself. */
function showEngine(engine: EngineView): object {
  const {id, dataCentre, slots, maxBatch, running, foreign} = engine
  const {freeSlots, cachesPrefix, models} = engine
  const coldest = findColdest(models)
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

/** The least heat per copy among an engine's adapters; 0 without any. */
export function findColdest(models: EngineView["models"]): number {
  if (models.size === 0) return 0
  let least = Infinity
  for (const {heat, copies} of models.values()) least = Math.min(least, heat / copies)
  return least
}
