/** Checks a proposed change against the configuration; all findings are collected. */
import type {Finding} from "../errors.js"
import type {
  Adapter,
  AdapterVersion,
  BackendServer,
  Configuration,
  ModelEngine,
  PolicyRecord,
  RecordChange,
  RecordKind,
  RecordTypes
} from "../types/config.js"
import {isValidId, type ProposedRecord, RECORD_SCHEMAS} from "../types/records.js"
import {applyChanges, cellsOf, enginesOfCell, findRecord} from "./configuration.js"

/** A record that was changed by somebody else since the operator looked. */
export interface Conflict {
  readonly kind: RecordKind
  readonly id: string
  readonly yours: unknown
  readonly theirs: unknown
  /** Who made theirs, and in which generation. */
  readonly generation: number
}

export interface CheckedChange {
  readonly records: readonly RecordChange[]
  readonly findings: readonly Finding[]
  readonly conflicts: readonly Conflict[]
}

export interface ChangeRules {
  /** All that is wrong with a policy, by place below its value. */
  readonly checkPolicy: (policy: PolicyRecord) => readonly Finding[]
  /** Engines of a cell. */
  readonly cellSize: number
  /** Adapter versions that engines serve now; they are not retired. */
  readonly versionsInUse: ReadonlySet<string>
  /** The generation the operator's view was of: what changed since conflicts. */
  readonly seen: number
}

/** Checks every record, and the configuration that would come of all together. */
export function checkChange(
  config: Configuration,
  proposed: readonly ProposedRecord[],
  rules: ChangeRules
): CheckedChange {
  const findings: Finding[] = []
  const records = proposed.map((record, index) =>
    readRecord(record, `/records/${index}`, findings)
  )
  const placed = assignCells(config, records, rules.cellSize)
  if (findings.length === 0) {
    const next = preview(config, placed)
    placed.forEach((record, index) =>
      checkRecord(config, next, record, `/records/${index}`, rules, findings)
    )
    findings.push(...findBrokenReferences(next, placed))
  }
  return {
    records: placed,
    findings,
    conflicts: findConflicts(config, proposed, rules.seen)
  }
}

function readRecord(
  {kind, id, value}: ProposedRecord,
  place: string,
  findings: Finding[]
): RecordChange {
  if (!isValidId(kind, id))
    findings.push({place: `${place}/id`, message: "is not a valid name"})
  if (value === undefined) return {kind, id}
  const parsed = RECORD_SCHEMAS[kind].safeParse(value)
  if (parsed.success) return {kind, id, value: parsed.data as RecordTypes[RecordKind]}
  for (const issue of parsed.error.issues) {
    const path = [...issue.path.map(String)].map(part => `/${part}`).join("")
    findings.push({place: `${place}/value${path}`, message: issue.message})
  }
  return {kind, id}
}

function preview(config: Configuration, records: readonly RecordChange[]): Configuration {
  const generation = config.generation + 1
  return applyChanges(config, [{generation, operation: "", operator: "", at: 0, records}])
}

function findConflicts(
  config: Configuration,
  proposed: readonly ProposedRecord[],
  seen: number
): Conflict[] {
  const conflicts: Conflict[] = []
  for (const {kind, id, value, ifGeneration} of proposed) {
    const current = findRecord(config, kind, id)
    const generation = current?.generation ?? 0
    const stale = ifGeneration !== undefined && ifGeneration !== generation
    if (!stale && generation <= seen) continue
    conflicts.push({kind, id, yours: value, theirs: current?.value, generation})
  }
  return conflicts
}

// Rules of each kind

function checkRecord(
  config: Configuration,
  next: Configuration,
  {kind, id, value}: RecordChange,
  place: string,
  rules: ChangeRules,
  findings: Finding[]
): void {
  const say = (path: string, message: string) =>
    void findings.push({place: place + path, message})
  if (value === undefined) {
    if (!findRecord(config, kind, id)) say("", "does not exist")
    if (kind === "version" && rules.versionsInUse.has(id))
      say("", "is in use by an engine")
    return
  }
  const need = (of: RecordKind, name: string, path: string) => {
    if (!findRecord(next, of, name)) say(path, `no ${of} is named ${name}`)
  }
  switch (kind) {
    case "adapter": {
      const adapter = value as Adapter
      need("baseModel", adapter.baseModel, "/value/baseModel")
      need("organisation", adapter.organisation, "/value/organisation")
      const before = findRecord(config, "adapter", id)?.value
      if (before && before.baseModel !== adapter.baseModel) {
        say("/value/baseModel", "cannot change; create another adapter")
      }
      if (before && before.organisation !== adapter.organisation) {
        say("/value/organisation", "cannot change; create another adapter")
      }
      return
    }
    case "version":
      return checkVersion(config, id, value as AdapterVersion, need, say)
    case "backend": {
      const server = value as BackendServer
      if (server.kind === "model-engine")
        need("baseModel", server.baseModel, "/value/baseModel")
      return
    }
    case "policy": {
      if (isInForce(config, id) && !isSame(config, id, value as PolicyRecord)) {
        say("", "is in force; propose it under another name")
      }
      for (const finding of rules.checkPolicy(value as PolicyRecord)) {
        say(`/value${finding.place}`, finding.message)
      }
      return
    }
    case "activation":
      return need("policy", (value as {policy: string}).policy, "/value/policy")
    case "baseModel":
    case "organisation":
    case "operator":
      return
  }
}

function isInForce(config: Configuration, policy: string): boolean {
  return [...config.tables.activation.values()].some(({value}) => value.policy === policy)
}

function isSame(config: Configuration, policy: string, value: PolicyRecord): boolean {
  const known = findRecord(config, "policy", policy)?.value
  return JSON.stringify(known) === JSON.stringify(value)
}

function checkVersion(
  config: Configuration,
  id: string,
  version: AdapterVersion,
  need: (kind: RecordKind, name: string, path: string) => void,
  say: (path: string, message: string) => void
): void {
  need("adapter", version.adapter, "/value/adapter")
  if (id !== `${version.adapter}@${version.version}`) {
    say("/id", `must be ${version.adapter}@${version.version}`)
  }
  const before = findRecord(config, "version", id)?.value
  if (before && before.weights !== version.weights) {
    say("/value/weights", "cannot change: versions are immutable once named")
  }
}

/** What a retirement would leave behind without what it names. */
function findBrokenReferences(
  next: Configuration,
  records: readonly RecordChange[]
): Finding[] {
  const findings: Finding[] = []
  records.forEach(({kind, id, value}, index) => {
    if (value !== undefined) return
    const user = findUser(next, kind, id)
    if (user) findings.push({place: `/records/${index}`, message: `is named by ${user}`})
  })
  return findings
}

function findUser(next: Configuration, kind: RecordKind, id: string): string | undefined {
  const {adapter, version, backend, activation} = next.tables
  const users: readonly [string, ReadonlyMap<string, {value: object}>, string][] =
    kind === "baseModel"
      ? [
          ["adapter", adapter, "baseModel"],
          ["backend", backend, "baseModel"]
        ]
      : kind === "organisation"
        ? [["adapter", adapter, "organisation"]]
        : kind === "adapter"
          ? [["version", version, "adapter"]]
          : kind === "policy"
            ? [["activation", activation, "policy"]]
            : []
  for (const [label, table, field] of users) {
    for (const [name, {value}] of table) {
      if ((value as Record<string, unknown>)[field] === id) return `${label} ${name}`
    }
  }
  return undefined
}

// Cells

/** Puts engines without a cell into the first one of their base model that has room. */
function assignCells(
  config: Configuration,
  records: readonly RecordChange[],
  cellSize: number
): RecordChange[] {
  const sizes = new Map<string, number>()
  for (const cell of cellsOf(config)) sizes.set(cell, enginesOfCell(config, cell).size)
  return records.map(record => {
    const server = record.value as BackendServer | undefined
    if (record.kind !== "backend" || server?.kind !== "model-engine") return record
    const known = findRecord(config, "backend", record.id)?.value
    const kept = known?.kind === "model-engine" ? known.cell : undefined
    const cell = server.cell ?? kept ?? pickCell(sizes, cellSize)
    if (cell !== kept) sizes.set(cell, (sizes.get(cell) ?? 0) + 1)
    return {...record, value: {...server, cell} satisfies ModelEngine}
  })
}

function pickCell(sizes: ReadonlyMap<string, number>, cellSize: number): string {
  for (const [cell, size] of sizes) if (size < cellSize) return cell
  return `cell-${sizes.size + 1}`
}
