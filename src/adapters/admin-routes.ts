/** Routes of the administration API, with the roles that they require. */
import type {IncomingMessage} from "node:http"
import {findRecord} from "../core/configuration.js"
import {findDifference} from "../core/difference.js"
import {SedgeError} from "../errors.js"
import {checkPolicy} from "../plugins/policies.js"
import {
  type Configuration,
  OPERATOR_ROLES,
  type OperatorRole,
  RECORD_KINDS,
  type RecordKind
} from "../types/config.js"
import {type Proposal, proposalSchema, type ProposedRecord} from "../types/records.js"
import {equalHash, sha256} from "../utils/hash.js"
import type {ConfigSync} from "./config-sync.js"
import type {ConfigWriter} from "./config-writer.js"
import {toFindings} from "./settings-file.js"

export interface Operator {
  readonly name: string
  readonly roles: readonly OperatorRole[]
}

export interface AdminCall {
  readonly method: string
  readonly url: URL
  readonly operator: Operator
  readonly body: unknown
}

export interface AdminServices {
  readonly sync: ConfigSync
  readonly writer: ConfigWriter
  readonly cellSize: number
  /** Requests the status of each process. */
  readonly pollProcesses: () => Promise<readonly ProcessStatus[]>
  /** Returns the JSON pointers of weights that are missing in the weight store. */
  readonly checkWeights: (
    records: readonly ProposedRecord[]
  ) => Promise<readonly string[]>
}

/** Status of a process of a box, for operators. */
export interface ProcessStatus {
  readonly process: string
  readonly role: string
  readonly dataCentre: string
  /** Generation of the configuration in force. Undefined if there was no answer. */
  readonly generation?: number
  readonly versionsInUse: readonly string[]
}

/** Records that affect live traffic. Changes of them require the role `approve`. */
const APPROVAL_KINDS: ReadonlySet<RecordKind> = new Set(["activation", "operator"])
const BOOTSTRAP = "bootstrap"

/** Returns the operator that a request's key belongs to, or throws `unauthorized`. */
export function authenticateOperator(
  req: IncomingMessage,
  config: Configuration,
  bootstrapKeyHash: string | undefined
): Operator {
  const key = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1]
  if (key === undefined) throw new SedgeError("unauthorized")
  const hash = sha256(key)
  for (const [name, {value}] of config.tables.operator) {
    if (equalHash(value.keyHash, hash)) return {name, roles: value.roles}
  }
  const isFirst = config.tables.operator.size === 0
  if (isFirst && bootstrapKeyHash !== undefined && equalHash(bootstrapKeyHash, hash)) {
    return {name: BOOTSTRAP, roles: OPERATOR_ROLES}
  }
  throw new SedgeError("unauthorized")
}

/** Returns the answer to a call, or rejects with a `SedgeError`. */
export async function routeAdmin(
  call: AdminCall,
  services: AdminServices
): Promise<object> {
  const [version, resource, ...rest] = call.url.pathname
    .split("/")
    .filter(part => part !== "")
  if (version !== "v1") throw new SedgeError("not-found", call.url.pathname)
  const names = rest.map(decodeURIComponent)
  if (call.method === "GET") requireRole(call.operator, "read")
  switch (resource) {
    case "records":
      return routeRecords(call, services, names)
    case "changes":
      return call.method === "POST"
        ? propose(call, services, readProposal(call.body))
        : listHistory(services)
    case "difference":
      return readDifference(call, services)
    case "operations":
      return findOperation(services, names[0] ?? "")
    case "status":
      return readStatus(services)
    default:
      throw new SedgeError("not-found", call.url.pathname)
  }
}

async function routeRecords(
  call: AdminCall,
  services: AdminServices,
  [kindName, id]: readonly string[]
): Promise<object> {
  const kind = RECORD_KINDS.find(name => name === kindName)
  if (!kind) throw new SedgeError("not-found", `kinds are ${RECORD_KINDS.join(", ")}`)
  if (call.method === "GET") return readRecords(services.sync.config, kind, id)
  if (id === undefined) throw new SedgeError("bad-request", "name a record")
  const ifGeneration = readNumber(call.url, "ifGeneration")
  const operation = call.url.searchParams.get("operation") ?? undefined
  const value = call.method === "DELETE" ? undefined : call.body
  if (call.method !== "DELETE" && call.method !== "PUT") {
    throw new SedgeError("bad-request", "use GET, PUT or DELETE")
  }
  if (call.method === "PUT" && value === undefined)
    throw new SedgeError("bad-request", "no body")
  return propose(call, services, {operation, records: [{kind, id, value, ifGeneration}]})
}

function readRecords(
  config: Configuration,
  kind: RecordKind,
  id: string | undefined
): object {
  const {generation} = config
  if (id === undefined) {
    const records = [...config.tables[kind]].map(
      ([name, {value, generation: changed}]) => ({
        id: name,
        generation: changed,
        value
      })
    )
    return {generation, records}
  }
  const record = findRecord(config, kind, id)
  if (!record) throw new SedgeError("not-found", `${kind} ${id}`)
  return {id, generation: record.generation, value: record.value}
}

function readProposal(body: unknown): Proposal {
  const parsed = proposalSchema.safeParse(body)
  if (parsed.success) return parsed.data
  throw new SedgeError("invalid-change", "", undefined, toFindings(parsed.error.issues))
}

async function propose(
  {operator, url}: AdminCall,
  services: AdminServices,
  proposal: Proposal
): Promise<object> {
  for (const {kind} of proposal.records) {
    requireRole(operator, APPROVAL_KINDS.has(kind) ? "approve" : "change")
  }
  const missing = await services.checkWeights(proposal.records)
  if (missing.length > 0) {
    const findings = missing.map(place => ({
      place,
      message: "the weight store has no such weights"
    }))
    throw new SedgeError("invalid-change", "", undefined, findings)
  }
  const rules = {
    checkPolicy,
    cellSize: services.cellSize,
    versionsInUse: await versionsInUse(services, proposal)
  }
  const dryRun = url.searchParams.get("dryRun") === "true"
  const accepted = await services.writer.accept(proposal, operator.name, rules, dryRun)
  return {...accepted, dryRun}
}

/** Returns the versions that engines serve, or an empty set if no version is retired. */
async function versionsInUse(
  services: AdminServices,
  {records}: Proposal
): Promise<ReadonlySet<string>> {
  const retires = records.some(
    ({kind, value}) => kind === "version" && value === undefined
  )
  if (!retires) return new Set()
  const processes = await services.pollProcesses()
  return new Set(processes.flatMap(status => status.versionsInUse))
}

function listHistory({sync}: AdminServices): object {
  const changes = [...sync.recent].reverse()
  return {generation: sync.config.generation, changes}
}

function readDifference({url}: AdminCall, {sync}: AdminServices): object {
  const from = readNumber(url, "from")
  const to = readNumber(url, "to") ?? sync.config.generation
  if (from === undefined) throw new SedgeError("bad-request", "from=GENERATION is needed")
  const oldest = sync.recent[0]?.generation ?? sync.config.generation + 1
  if (from + 1 < oldest) {
    throw new SedgeError("not-found", `changes are kept from generation ${oldest} on`)
  }
  return {from, to, records: findDifference(sync.recent, from, to)}
}

async function findOperation(
  {writer}: AdminServices,
  operation: string
): Promise<object> {
  let found
  try {
    found = await writer.findOperation(operation)
  } catch (cause) {
    throw new SedgeError("unavailable", (cause as Error).message, 2_000)
  }
  if (!found)
    throw new SedgeError("not-found", `operation ${operation} is not in the log`)
  return {...found, state: "accepted"}
}

async function readStatus(services: AdminServices): Promise<object> {
  const {generation} = services.sync.config
  const processes = await services.pollProcesses()
  const inForce = processes.every(status => (status.generation ?? 0) >= generation)
  return {generation, inForceEverywhere: inForce, processes}
}

function requireRole({roles, name}: Operator, role: OperatorRole): void {
  if (!roles.includes(role))
    throw new SedgeError("forbidden", `${name} lacks the role ${role}`)
}

function readNumber(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name)
  if (text === null) return undefined
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new SedgeError("bad-request", name)
  return value
}
