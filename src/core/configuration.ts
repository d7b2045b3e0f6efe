/** The configuration as a fold over its log: generations only grow. */
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

/** The configuration before the first change. */
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

/** Applies the changes that follow on without a gap, whatever their order or overlap. */
export function applyChanges(
  config: Configuration,
  changes: readonly ConfigChange[]
): Configuration {
  const sorted = [...changes].sort((a, b) => a.generation - b.generation)
  const next = openTables(config.tables)
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

/** The configuration a snapshot holds. */
export function restoreSnapshot(
  records: readonly SnapshotRecord[],
  generation: number
): Configuration {
  const next = openTables(emptyConfiguration().tables)
  for (const record of records) next.put(record)
  return {generation, tables: next.close()}
}

/** All records, for a snapshot. */
export function listRecords(config: Configuration): SnapshotRecord[] {
  const records: SnapshotRecord[] = []
  for (const kind of RECORD_KINDS) {
    for (const [id, {value, generation}] of config.tables[kind]) {
      records.push({kind, id, value, generation})
    }
  }
  return records
}

/** Copies a table at its first change only, so that untouched ones stay shared. */
function openTables(tables: ConfigTables) {
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

/** A record by kind and name. */
export function findRecord<K extends RecordKind>(
  config: Configuration,
  kind: K,
  id: string
): Versioned<RecordTypes[K]> | undefined {
  return config.tables[kind].get(id) as Versioned<RecordTypes[K]> | undefined
}

/** What a caller's model name resolves to. */
export interface ResolvedModel {
  readonly name: string
  readonly baseModel: string
  readonly adapter: string
  readonly weights: string
}

/** Resolves `base/adapter@version`; undefined when any part is not configured. */
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

/** What the backend servers of a configuration make up, worked out once for each table. */
interface BackendIndex {
  readonly cells: ReadonlyMap<string, ReadonlyMap<string, ModelEngine>>
  readonly cellsByBase: ReadonlyMap<string, readonly string[]>
  readonly services: ReadonlyMap<string, ReadonlyMap<string, PlainService>>
  readonly engineCount: number
}

const backendIndexes = new WeakMap<object, BackendIndex>()

function indexBackends(config: Configuration): BackendIndex {
  const table = config.tables.backend
  const known = backendIndexes.get(table)
  if (known) return known
  const cells = new Map<string, Map<string, ModelEngine>>()
  const bases = new Map<string, Set<string>>()
  const services = new Map<string, Map<string, PlainService>>()
  let engineCount = 0
  for (const [id, {value}] of table) {
    if (value.kind === "plain-service") {
      addTo(services, value.service, id, value)
      continue
    }
    engineCount++
    addTo(cells, value.cell, id, value)
    bases.set(value.baseModel, (bases.get(value.baseModel) ?? new Set()).add(value.cell))
  }
  const cellsByBase = new Map(
    [...bases].map(([base, names]) => [base, [...names].sort()])
  )
  const index = {cells, cellsByBase, services, engineCount}
  backendIndexes.set(table, index)
  return index
}

function addTo<V>(
  map: Map<string, Map<string, V>>,
  group: string,
  id: string,
  value: V
): void {
  const members = map.get(group) ?? new Map<string, V>()
  map.set(group, members.set(id, value))
}

/** The model engines of a cell, by name. */
export function enginesOfCell(
  config: Configuration,
  cell: string
): ReadonlyMap<string, ModelEngine> {
  return indexBackends(config).cells.get(cell) ?? new Map()
}

/** The names of all cells. */
export function cellsOf(config: Configuration): string[] {
  return [...indexBackends(config).cells.keys()]
}

/** The cells whose engines run a base model. */
export function cellsOfBase(config: Configuration, baseModel: string): readonly string[] {
  return indexBackends(config).cellsByBase.get(baseModel) ?? []
}

/** A cell's part of all model engines. */
export function shareOfCell(config: Configuration, cell: string): number {
  const {cells, engineCount} = indexBackends(config)
  return engineCount === 0 ? 1 : (cells.get(cell)?.size ?? 0) / engineCount
}

/** The members of a plain service, by name. */
export function membersOfService(
  config: Configuration,
  service: string
): ReadonlyMap<string, PlainService> {
  return indexBackends(config).services.get(service) ?? new Map()
}

/** The organisation whose key has this hash. */
export function findOrganisationByKey(
  config: Configuration,
  keyHash: string
): string | undefined {
  for (const [id, {value}] of config.tables.organisation) {
    if (value.keyHashes.includes(keyHash)) return id
  }
  return undefined
}
