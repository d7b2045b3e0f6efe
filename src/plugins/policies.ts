/** The built-in policy programs, and the lookup of the active policy. */
import {findRecord} from "../core/configuration.js"
import type {EngineView, Policy, RequestView} from "../core/policy.js"
import type {Finding} from "../errors.js"
import type {Configuration, PolicyRecord, RequestClass} from "../types/config.js"
import {rankMembers} from "../utils/rendezvous.js"
import {createRulePolicy, lowestPopularityPerCopy} from "./rule-policy.js"
import {compileRules} from "./rules.js"

export type PolicyParameters = Readonly<Record<string, number>>

type PolicyFactory = (parameters: PolicyParameters) => Policy

const DEFAULT_SLACK_MS: Readonly<Record<RequestClass, number>> = {
  till: 0,
  merchant: 1_000,
  overnight: 30_000
}

/**
 * Fraction of the batch by which an engine may be fuller and still rank first, if it has
 * the request's prefix cached.
 */
const PREFIX_BONUS = 0.15

/** Waiting requests that justify one more copy, as a fraction of an engine's batch. */
const COPY_FRACTION = 0.25

/** The program that evaluates operators' rules. */
const RULES_PROGRAM = "rules"

/** Id of the record that names the active policy. */
export const ACTIVATION_ID = "active"

export const POLICY_PROGRAMS: Readonly<Record<string, PolicyFactory>> = {
  "warm-first": warmFirst,
  "least-loaded-lru": leastLoadedLru,
  "sticky-lru": stickyLru
}

/**
 * Evicts adapters with the lowest popularity per copy first. Popularity is a decayed
 * request count, so single requests for many rare adapters do not evict popular ones.
 */
function warmFirst(parameters: PolicyParameters): Policy {
  return {
    name: "warm-first",
    rankServing: engines =>
      rankByLoad(engines, parameters["prefixBonus"] ?? PREFIX_BONUS),
    rankLoading: engines => rankByFreeSlots(engines),
    rankVictims: engine =>
      [...engine.models]
        .sort(
          ([, a], [, b]) =>
            a.heat / a.copies - b.heat / b.copies || a.lastUsed - b.lastUsed
        )
        .map(([model]) => model),
    ...createCommonDecisions(parameters)
  }
}

/** Baseline: ranks engines by load, and evicts the least recently used adapter. */
function leastLoadedLru(parameters: PolicyParameters): Policy {
  return {
    name: "least-loaded-lru",
    rankServing: engines => rankByLoad(engines),
    rankLoading: engines => rankByLoad(engines),
    rankVictims: rankLeastRecentlyUsed,
    ...createCommonDecisions(parameters)
  }
}

/** Baseline: each adapter is loaded on one engine, chosen by rendezvous hashing. */
function stickyLru(parameters: PolicyParameters): Policy {
  const rankByHash = (engines: readonly EngineView[], {model}: RequestView) =>
    rankMembers(
      model,
      engines.map(engine => engine.id)
    )
  return {
    name: "sticky-lru",
    rankServing: rankByHash,
    rankLoading: (engines, request) => rankByHash(engines, request).slice(0, 1),
    rankVictims: rankLeastRecentlyUsed,
    ...createCommonDecisions(parameters)
  }
}

/** Fallback if there is no active policy or it fails. */
export const BUILT_IN_POLICY = warmFirst({})

const policyByRecord = new WeakMap<PolicyRecord, Policy>()

/** Returns the active policy. Its name is the id and generation of its record. */
export function findPolicy(config: Configuration): Policy {
  const activation = findRecord(config, "activation", ACTIVATION_ID)
  const id = activation?.value.policy
  const record = id === undefined ? undefined : findRecord(config, "policy", id)
  if (!record) return BUILT_IN_POLICY
  const policy = policyByRecord.get(record.value) ?? {
    ...createPolicy(record.value),
    name: `${id}@${record.generation}`
  }
  policyByRecord.set(record.value, policy)
  return policy
}

function createPolicy({program, parameters, rules}: PolicyRecord): Policy {
  if (program === RULES_PROGRAM)
    return createRulePolicy(rules ?? {}, warmFirst(parameters ?? {}))
  return (POLICY_PROGRAMS[program] ?? warmFirst)(parameters ?? {})
}

/** Returns all faults of a policy. Places are relative to the value of the record. */
export function checkPolicy({program, rules}: PolicyRecord): Finding[] {
  if (program === RULES_PROGRAM) {
    if (!rules) return [{place: "/rules", message: "is required by this program"}]
    const {findings} = compileRules(rules)
    return findings.map(({place, message}) => ({place: `/rules${place}`, message}))
  }
  if (rules)
    return [{place: "/rules", message: `is only for the program ${RULES_PROGRAM}`}]
  if (program in POLICY_PROGRAMS) return []
  return [{place: "/program", message: `there is no program ${program}`}]
}

function createCommonDecisions(
  parameters: PolicyParameters
): Pick<Policy, "slackMs" | "wantsCopy" | "limit" | "reservedLoads"> {
  const fraction = parameters["copyPart"] ?? COPY_FRACTION
  return {
    slackMs: createSlack(parameters),
    wantsCopy: ({waiting, maxBatch}) => waiting >= maxBatch * fraction,
    limit: () => Infinity,
    reservedLoads: parameters["reservedLoads"] ? 1 : 0
  }
}

function createSlack(
  parameters: PolicyParameters
): (requestClass: RequestClass) => number {
  return requestClass =>
    parameters[`${requestClass}SlackMs`] ?? DEFAULT_SLACK_MS[requestClass]
}

function rankByLoad(engines: readonly EngineView[], prefixBonus = 0): string[] {
  const score = ({running, foreign, maxBatch, cachesPrefix}: EngineView) =>
    (running + foreign) / maxBatch - (cachesPrefix ? prefixBonus : 0)
  return [...engines].sort((a, b) => score(a) - score(b)).map(engine => engine.id)
}

function rankByFreeSlots(engines: readonly EngineView[]): string[] {
  const score = (engine: EngineView) =>
    engine.freeSlots > 0 ? 0 : lowestPopularityPerCopy(engine.models)
  return [...engines]
    .sort((a, b) => score(a) - score(b) || a.running - b.running)
    .map(engine => engine.id)
}

function rankLeastRecentlyUsed(engine: EngineView): string[] {
  return [...engine.models]
    .sort(([, a], [, b]) => a.lastUsed - b.lastUsed)
    .map(([model]) => model)
}
