/** Validates a proposed change against the configuration and collects all findings. */
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
import {applyChanges, listCells, enginesOfCell, findRecord} from "./configuration.js"

/** A record that another operator has changed since this operator read it. */
export interface Conflict {
  readonly kind: RecordKind
  readonly id: string
  readonly yours: unknown
  readonly theirs: unknown
  /** The generation that last changed the record; 0 if it does not exist. */
  readonly generation: number
}

export interface CheckedChange {
  readonly records: readonly RecordChange[]
  readonly findings: readonly Finding[]
  readonly conflicts: readonly Conflict[]
}

export interface ChangeContext {
  /** Returns the faults of a policy, with places relative to its value. */
  readonly checkPolicy: (policy: PolicyRecord) => readonly Finding[]
  /** Largest number of engines in a cell. */
  readonly cellSize: number
  /** Adapter versions that engines currently serve; they cannot be retired. */
  readonly versionsInUse: ReadonlySet<string>
  /** The generation that the operator has seen; records changed since then conflict. */
  readonly seen: number
}

/**
 * Validates each record, and the configuration that results from all of them together.
 */
export function checkChange(
  config: Configuration,
  proposed: readonly ProposedRecord[],
  rules: ChangeContext
): CheckedChange {
  const findings: Finding[] = []
  const records = proposed.map((record, index) =>
    parseRecord(record, `/records/${index}`, findings)
  )
  const withCells = assignCells(config, records, rules.cellSize)
  if (findings.length === 0) {
    const next = preview(config, withCells)
    withCells.forEach((record, index) =>
      checkRecord(config, next, record, `/records/${index}`, rules, findings)
    )
    findings.push(...findBrokenReferences(next, withCells))
  }
  return {
    records: withCells,
    findings,
    conflicts: findConflicts(config, proposed, rules.seen)
  }
}

function parseRecord(
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
  rules: ChangeContext,
  findings: Finding[]
): void {
  const addFinding = (path: string, message: string) =>
    void findings.push({place: place + path, message})
  if (value === undefined) {
    if (!findRecord(config, kind, id)) addFinding("", "does not exist")
    if (kind === "version" && rules.versionsInUse.has(id))
      addFinding("", "is in use by an engine")
    return
  }
  const requireRecord = (of: RecordKind, name: string, path: string) => {
    if (!findRecord(next, of, name)) addFinding(path, `no ${of} is named ${name}`)
  }
  switch (kind) {
    case "adapter": {
      const adapter = value as Adapter
      requireRecord("baseModel", adapter.baseModel, "/value/baseModel")
      requireRecord("organisation", adapter.organisation, "/value/organisation")
      const current = findRecord(config, "adapter", id)?.value
      if (current && current.baseModel !== adapter.baseModel) {
        addFinding("/value/baseModel", "cannot change; create another adapter")
      }
      if (current && current.organisation !== adapter.organisation) {
        addFinding("/value/organisation", "cannot change; create another adapter")
      }
      return
    }
    case "version":
      return checkVersion(config, id, value as AdapterVersion, requireRecord, addFinding)
    case "backend": {
      const server = value as BackendServer
      if (server.kind === "model-engine")
        requireRecord("baseModel", server.baseModel, "/value/baseModel")
      return
    }
    case "policy": {
      if (isActive(config, id) && !isUnchanged(config, id, value as PolicyRecord)) {
        addFinding("", "is in force; propose it under another name")
      }
      for (const finding of rules.checkPolicy(value as PolicyRecord)) {
        addFinding(`/value${finding.place}`, finding.message)
      }
      return
    }
    case "activation":
      return requireRecord("policy", (value as {policy: string}).policy, "/value/policy")
    case "baseModel":
    case "organisation":
    case "operator":
      return
  }
}

function isActive(config: Configuration, policy: string): boolean {
  return [...config.tables.activation.values()].some(({value}) => value.policy === policy)
}

function isUnchanged(
  config: Configuration,
  policy: string,
  value: PolicyRecord
): boolean {
  const current = findRecord(config, "policy", policy)?.value
  return JSON.stringify(current) === JSON.stringify(value)
}

function checkVersion(
  config: Configuration,
  id: string,
  version: AdapterVersion,
  requireRecord: (kind: RecordKind, name: string, path: string) => void,
  addFinding: (path: string, message: string) => void
): void {
  requireRecord("adapter", version.adapter, "/value/adapter")
  if (id !== `${version.adapter}@${version.version}`) {
    addFinding("/id", `must be ${version.adapter}@${version.version}`)
  }
  const current = findRecord(config, "version", id)?.value
  if (current && current.weights !== version.weights) {
    addFinding("/value/weights", "cannot change: versions are immutable once named")
  }
}

/** Finds retired records that other records still refer to. */
function findBrokenReferences(
  next: Configuration,
  records: readonly RecordChange[]
): Finding[] {
  const findings: Finding[] = []
  records.forEach(({kind, id, value}, index) => {
    if (value !== undefined) return
    const referrer = findReferrer(next, kind, id)
    if (referrer)
      findings.push({place: `/records/${index}`, message: `is named by ${referrer}`})
  })
  return findings
}

function findReferrer(
  next: Configuration,
  kind: RecordKind,
  id: string
): string | undefined {
  const {adapter, version, backend, activation} = next.tables
  const referrers: readonly [string, ReadonlyMap<string, {value: object}>, string][] =
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
  for (const [label, table, field] of referrers) {
    for (const [name, {value}] of table) {
      if ((value as Record<string, unknown>)[field] === id) return `${label} ${name}`
    }
  }
  return undefined
}

// Cells

/** Assigns engines without a cell to the first cell that has room, or to a new one. */
function assignCells(
  config: Configuration,
  records: readonly RecordChange[],
  cellSize: number
): RecordChange[] {
  const sizes = new Map<string, number>()
  for (const cell of listCells(config)) sizes.set(cell, enginesOfCell(config, cell).size)
  return records.map(record => {
    const server = record.value as BackendServer | undefined
    if (record.kind !== "backend" || server?.kind !== "model-engine") return record
    const current = findRecord(config, "backend", record.id)?.value
    const currentCell = current?.kind === "model-engine" ? current.cell : undefined
    const cell = server.cell ?? currentCell ?? pickCell(sizes, cellSize)
    if (cell !== currentCell) sizes.set(cell, (sizes.get(cell) ?? 0) + 1)
    return {...record, value: {...server, cell} satisfies ModelEngine}
  })
}

function pickCell(sizes: ReadonlyMap<string, number>, cellSize: number): string {
  for (const [cell, size] of sizes) if (size < cellSize) return cell
  return `cell-${sizes.size + 1}`
}
