/** Builds the configuration from its log of changes. Generations only increase. */
import {
  RECORD_KINDS,
  type ConfigChange,
  type ConfigTables,
  type Configuration,
  type ModelEngine,
  type PlainService,
  type RecordKind,
  type RecordTypes,
  type SnapshotRecord,
  type Versioned
} from "../types/config.js"

/** Returns the configuration before the first change. */
export function emptyConfiguration(): Configuration {
  return {
    generation: 0,
    tables: {
      baseModel: new Map(),
      adapter: new Map(),
      version: new Map(),
      organisation: new Map(),
      backend: new Map(),
      policy: new Map(),
      activation: new Map(),
      operator: new Map()
    }
  }
}

/**
 * Applies the changes that continue the configuration without a gap, in any input order.
 */
export function applyChanges(
  config: Configuration,
  changes: readonly ConfigChange[]
): Configuration {
  const sorted = [...changes].sort((a, b) => a.generation - b.generation)
  const next = copyOnWrite(config.tables)
  let generation = config.generation
  for (const change of sorted) {
    if (change.generation !== generation + 1) continue
    for (const record of change.records)
      next.put({...record, generation: change.generation})
    generation = change.generation
  }
  if (generation === config.generation) return config
  return {generation, tables: next.close()}
}

/** Builds the configuration from the records of a snapshot. */
export function restoreSnapshot(
  records: readonly SnapshotRecord[],
  generation: number
): Configuration {
  const next = copyOnWrite(emptyConfiguration().tables)
  for (const record of records) next.put(record)
  return {generation, tables: next.close()}
}

/** Returns all records, for a snapshot. */
export function listRecords(config: Configuration): SnapshotRecord[] {
  const records: SnapshotRecord[] = []
  for (const kind of RECORD_KINDS) {
    for (const [id, {value, generation}] of config.tables[kind]) {
      records.push({kind, id, value, generation})
    }
  }
  return records
}

/** Copies each table on its first write; unchanged tables stay shared. */
function copyOnWrite(tables: ConfigTables) {
  const copies: Partial<Record<RecordKind, Map<string, Versioned<unknown>>>> = {}
  return {
    put({kind, id, value, generation}: SnapshotRecord): void {
      const table = (copies[kind] ??= new Map(
        tables[kind] as Map<string, Versioned<unknown>>
      ))
      if (value === undefined) table.delete(id)
      else table.set(id, {value, generation})
    },
    close: (): ConfigTables => ({...tables, ...(copies as Partial<ConfigTables>)})
  }
}

export function findRecord<K extends RecordKind>(
  config: Configuration,
  kind: K,
  id: string
): Versioned<RecordTypes[K]> | undefined {
  return config.tables[kind].get(id) as Versioned<RecordTypes[K]> | undefined
}

/** The parts of a model name sent by a caller, and the location of its weights. */
export interface ResolvedModel {
  readonly name: string
  readonly baseModel: string
  readonly adapter: string
  readonly weights: string
}

/** Resolves `base/adapter@version`. Undefined if any part is not configured. */
export function resolveModel(
  config: Configuration,
  name: string
): ResolvedModel | undefined {
  const match = /^([^/@]+)\/([^/@]+)@([^/@]+)$/.exec(name)
  if (!match) return undefined
  const [, baseModel = "", adapterName = "", versionName = ""] = match
  const adapter = findRecord(config, "adapter", adapterName)
  const version = findRecord(config, "version", `${adapterName}@${versionName}`)
  if (!adapter || !version || adapter.value.baseModel !== baseModel) return undefined
  return {name, baseModel, adapter: adapterName, weights: version.value.weights}
}

/**
 * Backend servers by cell, base model and service, computed once per table of records.
 */
interface BackendIndex {
  readonly cells: ReadonlyMap<string, ReadonlyMap<string, ModelEngine>>
  readonly cellsByBase: ReadonlyMap<string, readonly string[]>
  readonly services: ReadonlyMap<string, ReadonlyMap<string, PlainService>>
  readonly engineCount: number
}

const backendIndexes = new WeakMap<object, BackendIndex>()

function indexBackends(config: Configuration): BackendIndex {
  const table = config.tables.backend
  const cached = backendIndexes.get(table)
  if (cached) return cached
  const cells = new Map<string, Map<string, ModelEngine>>()
  const bases = new Map<string, Set<string>>()
  const services = new Map<string, Map<string, PlainService>>()
  let engineCount = 0
  for (const [id, {value}] of table) {
    if (value.kind === "plain-service") {
      addToGroup(services, value.service, id, value)
      continue
    }
    engineCount++
    addToGroup(cells, value.cell, id, value)
    bases.set(value.baseModel, (bases.get(value.baseModel) ?? new Set()).add(value.cell))
  }
  const cellsByBase = new Map(
    [...bases].map(([base, names]) => [base, [...names].sort()])
  )
  const index = {cells, cellsByBase, services, engineCount}
  backendIndexes.set(table, index)
  return index
}

function addToGroup<V>(
  map: Map<string, Map<string, V>>,
  group: string,
  id: string,
  value: V
): void {
  const members = map.get(group) ?? new Map<string, V>()
  map.set(group, members.set(id, value))
}

/** Returns the model engines of a cell, by name. */
export function enginesOfCell(
  config: Configuration,
  cell: string
): ReadonlyMap<string, ModelEngine> {
  return indexBackends(config).cells.get(cell) ?? new Map()
}

export function listCells(config: Configuration): string[] {
  return [...indexBackends(config).cells.keys()]
}

/** Returns the cells whose engines run a base model. */
export function cellsOfBase(config: Configuration, baseModel: string): readonly string[] {
  return indexBackends(config).cellsByBase.get(baseModel) ?? []
}

/**
 * Returns the fraction of all model engines that are in a cell; 1 if there are none at
 * all.
 */
export function engineFractionOfCell(config: Configuration, cell: string): number {
  const {cells, engineCount} = indexBackends(config)
  return engineCount === 0 ? 1 : (cells.get(cell)?.size ?? 0) / engineCount
}

/** Returns the members of a plain service, by name. */
export function membersOfService(
  config: Configuration,
  service: string
): ReadonlyMap<string, PlainService> {
  return indexBackends(config).services.get(service) ?? new Map()
}

/** Returns the organisation with this key hash. */
export function findOrganisationByKey(
  config: Configuration,
  keyHash: string
): string | undefined {
  for (const [id, {value}] of config.tables.organisation) {
    if (value.keyHashes.includes(keyHash)) return id
  }
  return undefined
}
