/**
 * Policies as rules: one expression of the Common Expression Language for each decision. What an
 * expression may use is so little that its time is bounded by its length: no lists, no loops, no
 * regular expressions. See docs/operators/policies.md.
 */
import {type ASTNode, Environment, type ParseResult} from "@marcbachmann/cel-js"
import type {Finding} from "../errors.js"
import {RULE_NAMES, type RuleName, type RuleTexts} from "../types/config.js"

/** Values by variable, as declared in `VARIABLES`. */
type Values = Readonly<Record<string, unknown>>

/** Evaluates to a finite number or a truth value, or throws. */
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

/** What each rule sees, and what it answers. */
const SHAPES: Readonly<
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

/** Compiles all rules and collects what is wrong with any. */
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
  const say = (at: number, message: string) =>
    void findings.push({place: `/${name}:${locate(text, at)}`, message})
  const parsed = parse(name, text, say)
  if (!parsed) return undefined
  const before = findings.length
  walk(parsed.ast, say)
  const checked = parsed.check()
  if (checked.error) say(startOf(checked.error), summaryOf(checked.error))
  else if (!isAnswer(checked.type, SHAPES[name].type))
    say(0, `answers ${checked.type}, not ${SHAPES[name].type}`)
  if (findings.length > before) return undefined
  // Checked with the fields' types, evaluated without: converting to them is most of the cost.
  return evaluator(name, createEnvironment(name, "map").parse(text))
}

function parse(
  name: RuleName,
  text: string,
  say: (at: number, message: string) => void
): ParseResult | undefined {
  try {
    return createEnvironment(name, "typed").parse(text)
  } catch (cause) {
    say(startOf(cause), summaryOf(cause))
    return undefined
  }
}

function createEnvironment(name: RuleName, variables: "typed" | "map"): Environment {
  const environment = new Environment({limits: LIMITS})
  environment.registerFunction("min(double, double): double", Math.min)
  environment.registerFunction("max(double, double): double", Math.max)
  for (const [variable, schema] of Object.entries(SHAPES[name].variables)) {
    if (variables === "map") environment.registerVariable(variable, "map")
    else environment.registerVariable({name: variable, schema: schema as never})
  }
  return environment
}

/** Only what takes a bounded time passes. */
function walk(node: ASTNode, say: (at: number, message: string) => void): void {
  if (FORBIDDEN_OPERATORS.has(node.op)) say(node.start, `${node.op} is not for policies`)
  if (node.op === "call" && !FUNCTIONS.has(node.args[0])) {
    say(node.start, `${node.args[0]} is not for policies`)
  }
  if (node.op === "rcall" && !METHODS.has(node.args[0])) {
    say(node.start, `${node.args[0]} is not for policies`)
  }
  for (const child of childrenOf(node.args)) walk(child, say)
}

function childrenOf(args: unknown): ASTNode[] {
  if (Array.isArray(args)) return args.flatMap(childrenOf)
  const isNode = typeof args === "object" && args !== null && "op" in args
  return isNode ? [args as ASTNode] : []
}

function evaluator(name: RuleName, parsed: ParseResult): Rule {
  const wanted = SHAPES[name].type === "bool" ? "boolean" : "number"
  return values => {
    const answer: unknown = parsed(values as Record<string, unknown>)
    const value = typeof answer === "bigint" ? Number(answer) : answer
    if (typeof value !== wanted || Number.isNaN(value)) {
      throw new RangeError(`${name} answered ${String(value)}`)
    }
    return value as number | boolean
  }
}

function isAnswer(type: string | undefined, wanted: string): boolean {
  return type === wanted || (type === "int" && wanted === "double")
}

interface CelProblem {
  readonly range?: {readonly start: number}
  readonly summary?: string
  readonly message: string
}

function startOf(cause: unknown): number {
  return (cause as CelProblem).range?.start ?? 0
}

function summaryOf(cause: unknown): string {
  const {summary, message} = cause as CelProblem
  return summary ?? message.split("\n")[0] ?? message
}

/** `LINE:COLUMN` of a position, both counted from 1. */
function locate(text: string, at: number): string {
  const lines = text.slice(0, at).split("\n")
  return `${lines.length}:${(lines.at(-1) ?? "").length + 1}`
}
