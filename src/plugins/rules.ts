/**
 * Compiles policy rules: one expression of the Common Expression Language (CEL) for each
 * decision. Lists, loops and regular expressions are not allowed, so the length of an
 * expression bounds its run time. See docs/operators/policies.md.
 */
import {type ASTNode, Environment, type ParseResult} from "@marcbachmann/cel-js"
import type {Finding} from "../errors.js"
import {RULE_NAMES, type RuleName, type RuleTexts} from "../types/config.js"

/** Values by variable, as declared in `SIGNATURES`. */
type Values = Readonly<Record<string, unknown>>

/** Throws a `RangeError` if the result has the wrong type or is NaN. */
export type Rule = (values: Values) => number | boolean

export type Rules = Readonly<Partial<Record<RuleName, Rule>>>

export interface CompiledRules {
  readonly rules: Rules
  /** Places are `/NAME:LINE:COLUMN`. */
  readonly findings: readonly Finding[]
}

const LIMITS = {
  maxAstNodes: 200,
  maxDepth: 24,
  maxListElements: 0,
  maxMapEntries: 0,
  maxCallArguments: 2
}

const ENGINE = {
  id: "string",
  dataCentre: "string",
  slots: "double",
  maxBatch: "double",
  running: "double",
  foreign: "double",
  freeSlots: "double",
  cachesPrefix: "bool",
  coldest: "double"
}
const REQUEST = {
  organisation: "string",
  class: "string",
  model: "string",
  waitedMs: "double"
}
const ADAPTER = {
  name: "string",
  running: "double",
  waiting: "double",
  heat: "double",
  copies: "double",
  idleMs: "double"
}
const DEMAND = {waiting: "double", copies: "double", heat: "double", maxBatch: "double"}

/** Variables and result type of each rule. */
const SIGNATURES: Readonly<
  Record<RuleName, {variables: Readonly<Record<string, object>>; type: string}>
> = {
  serve: {variables: {engine: ENGINE, request: REQUEST}, type: "double"},
  load: {variables: {engine: ENGINE, request: REQUEST}, type: "double"},
  evict: {variables: {engine: ENGINE, adapter: ADAPTER}, type: "double"},
  copy: {variables: {demand: DEMAND}, type: "bool"},
  slackMs: {variables: {request: {class: "string"}}, type: "double"},
  limit: {variables: {request: {organisation: "string", class: "string"}}, type: "double"}
}

const FUNCTIONS: ReadonlySet<string> = new Set(["double", "min", "max"])
const METHODS: ReadonlySet<string> = new Set(["startsWith", "endsWith", "contains"])
const FORBIDDEN_OPERATORS: ReadonlySet<string> = new Set(["list", "map", "[]", "[?]"])

/** Compiles all rules and collects the faults of all. */
export function compileRules(texts: RuleTexts): CompiledRules {
  const findings: Finding[] = []
  const rules: Partial<Record<RuleName, Rule>> = {}
  for (const name of RULE_NAMES) {
    const text = texts[name]
    if (text !== undefined) rules[name] = compileRule(name, text, findings)
  }
  return {rules, findings}
}

function compileRule(
  name: RuleName,
  text: string,
  findings: Finding[]
): Rule | undefined {
  const report = (at: number, message: string) =>
    void findings.push({place: `/${name}:${formatPosition(text, at)}`, message})
  const parsed = parse(name, text, report)
  if (!parsed) return undefined
  const before = findings.length
  checkNodes(parsed.ast, report)
  const checked = parsed.check()
  if (checked.error) report(startOf(checked.error), summaryOf(checked.error))
  else if (!isResultType(checked.type, SIGNATURES[name].type))
    report(0, `answers ${checked.type}, not ${SIGNATURES[name].type}`)
  if (findings.length > before) return undefined
  // Types of fields are only used for the check, because converting values to them would
  // take most of the time of an evaluation.
  return createRule(name, createEnvironment(name, "map").parse(text))
}

function parse(
  name: RuleName,
  text: string,
  report: (at: number, message: string) => void
): ParseResult | undefined {
  try {
    return createEnvironment(name, "typed").parse(text)
  } catch (cause) {
    report(startOf(cause), summaryOf(cause))
    return undefined
  }
}

function createEnvironment(name: RuleName, variables: "typed" | "map"): Environment {
  const environment = new Environment({limits: LIMITS})
  environment.registerFunction("min(double, double): double", Math.min)
  environment.registerFunction("max(double, double): double", Math.max)
  for (const [variable, schema] of Object.entries(SIGNATURES[name].variables)) {
    if (variables === "map") environment.registerVariable(variable, "map")
    else environment.registerVariable({name: variable, schema: schema as never})
  }
  return environment
}

/** Reports each operator, function and method whose time is not bounded. */
function checkNodes(node: ASTNode, report: (at: number, message: string) => void): void {
  if (FORBIDDEN_OPERATORS.has(node.op))
    report(node.start, `${node.op} is not allowed in policy rules`)
  if (node.op === "call" && !FUNCTIONS.has(node.args[0])) {
    report(node.start, `${node.args[0]} is not allowed in policy rules`)
  }
  if (node.op === "rcall" && !METHODS.has(node.args[0])) {
    report(node.start, `${node.args[0]} is not allowed in policy rules`)
  }
  for (const child of childrenOf(node.args)) checkNodes(child, report)
}

function childrenOf(args: unknown): ASTNode[] {
  if (Array.isArray(args)) return args.flatMap(childrenOf)
  const isNode = typeof args === "object" && args !== null && "op" in args
  return isNode ? [args as ASTNode] : []
}

function createRule(name: RuleName, parsed: ParseResult): Rule {
  const expected = SIGNATURES[name].type === "bool" ? "boolean" : "number"
  return values => {
    const result: unknown = parsed(values as Record<string, unknown>)
    const value = typeof result === "bigint" ? Number(result) : result
    if (typeof value !== expected || Number.isNaN(value)) {
      throw new RangeError(`rule ${name} returned ${String(value)}`)
    }
    return value as number | boolean
  }
}

function isResultType(type: string | undefined, expected: string): boolean {
  return type === expected || (type === "int" && expected === "double")
}

interface CelError {
  readonly range?: {readonly start: number}
  readonly summary?: string
  readonly message: string
}

function startOf(cause: unknown): number {
  return (cause as CelError).range?.start ?? 0
}

function summaryOf(cause: unknown): string {
  const {summary, message} = cause as CelError
  return summary ?? message.split("\n")[0] ?? message
}

/** Returns `LINE:COLUMN` of a position, both counted from 1. */
function formatPosition(text: string, at: number): string {
  const lines = text.slice(0, at).split("\n")
  return `${lines.length}:${(lines.at(-1) ?? "").length + 1}`
}
