/** The records of a configuration, which operators maintain. */

/** Request classes, most urgent first. */
export const REQUEST_CLASSES = ["till", "merchant", "overnight"] as const
export type RequestClass = (typeof REQUEST_CLASSES)[number]

export interface BaseModel {
  readonly description?: string
}

export interface Adapter {
  readonly baseModel: string
  readonly organisation: string
}

/** Immutable once named. */
export interface AdapterVersion {
  readonly adapter: string
  readonly version: string
  /** Location of the weights in the weight store. */
  readonly weights: string
}

export interface Organisation {
  /**
   * Hex SHA-256 of each key of the organisation; the keys themselves are never stored.
   */
  readonly keyHashes: readonly string[]
  readonly classes: readonly RequestClass[]
  /** Limit of requests in progress on one box. */
  readonly maxInProgress: number
}

/** A model engine: a backend server that runs adapters. */
export interface ModelEngine {
  readonly kind: "model-engine"
  readonly baseModel: string
  readonly address: string
  readonly dataCentre: string
  readonly slots: number
  /** Largest number of requests in one batch. */
  readonly maxBatch: number
  /** Whether it refuses orders with an old fence (fencing token). */
  readonly checksFences: boolean
  /** Whether a broken stream can be resumed where it broke off. */
  readonly resumesStreams?: boolean
  /**
   * The group of engines, owned by one keeper as a whole, that this engine belongs to.
   */
  readonly cell: string
}

/** A plain service: a backend server without adapters. */
export interface PlainService {
  readonly kind: "plain-service"
  readonly service: string
  readonly address: string
  readonly dataCentre: string
  readonly maxInProgress: number
}

export type BackendServer = ModelEngine | PlainService

/** The decisions that policy rules can make. See docs/operators/policies.md. */
export const RULE_NAMES = ["serve", "load", "evict", "copy", "slackMs", "limit"] as const
export type RuleName = (typeof RULE_NAMES)[number]

/** Expressions by rule; the built-in program makes the decisions that have none. */
export type RuleTexts = Readonly<Partial<Record<RuleName, string>>>

/** A policy: one of the built-in programs with its parameters, or `rules`. */
export interface PolicyRecord {
  readonly program: string
  readonly parameters?: Readonly<Record<string, number>>
  readonly rules?: RuleTexts
}

/** The policy in force; the only record is named `active`. */
export interface Activation {
  readonly policy: string
}

export interface Operator {
  readonly keyHash: string
  readonly roles: readonly OperatorRole[]
}

export const OPERATOR_ROLES = ["read", "change", "approve"] as const
export type OperatorRole = (typeof OPERATOR_ROLES)[number]

/** The record type of each kind. */
export interface RecordTypes {
  baseModel: BaseModel
  adapter: Adapter
  version: AdapterVersion
  organisation: Organisation
  backend: BackendServer
  policy: PolicyRecord
  activation: Activation
  operator: Operator
}

export type RecordKind = keyof RecordTypes

export const RECORD_KINDS = [
  "baseModel",
  "adapter",
  "version",
  "organisation",
  "backend",
  "policy",
  "activation",
  "operator"
] as const satisfies readonly RecordKind[]

/** A value with the generation that last changed it. */
export interface Versioned<T> {
  readonly value: T
  readonly generation: number
}

/** A record after a change; it is retired if it has no value. */
export interface RecordChange {
  readonly kind: RecordKind
  readonly id: string
  readonly value?: RecordTypes[RecordKind]
}

/** An accepted change, as stored in the log in the key-value service. */
export interface ConfigChange {
  readonly generation: number
  /** Id from the operator, to look up later whether the change took effect. */
  readonly operation: string
  readonly operator: string
  /** Milliseconds since the epoch, by the clock of the accepting box. */
  readonly at: number
  readonly records: readonly RecordChange[]
}

/** A record of a snapshot, with the generation that last changed it. */
export interface SnapshotRecord extends RecordChange {
  readonly generation: number
}

export type ConfigTables = {
  readonly [K in RecordKind]: ReadonlyMap<string, Versioned<RecordTypes[K]>>
}

/** The whole configuration at one generation. */
export interface Configuration {
  readonly generation: number
  readonly tables: ConfigTables
}

/**
 * `base/adapter@version`: the name of a model in requests of callers and orders to
 * engines.
 */
export type ModelName = string
