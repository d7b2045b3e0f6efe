/** The schemas of configuration records, by kind. */
import * as z from "zod"
import {
  OPERATOR_ROLES,
  RECORD_KINDS,
  type RecordKind,
  REQUEST_CLASSES,
  RULE_NAMES
} from "./config.js"

/** Limits the length of a policy rule, in characters. */
const MAX_RULE_LENGTH = 2_000

/** Allows few characters, as names are part of keys, paths and model names. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/
const VERSION_ID_PATTERN =
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}@[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

const name = z.string().regex(NAME_PATTERN, "must be letters, digits, '.', '_' or '-'")
const address = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, "must be an IP number and a port")
const hash = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in hex")
const count = z.number().int().positive()

const modelEngine = z.strictObject({
  kind: z.literal("model-engine"),
  baseModel: name,
  address,
  dataCentre: name,
  slots: count.max(1024),
  maxBatch: count.max(4096),
  checksFences: z.boolean(),
  resumesStreams: z.boolean().optional(),
  cell: name.optional()
})

const plainService = z.strictObject({
  kind: z.literal("plain-service"),
  service: name,
  address,
  dataCentre: name,
  maxInProgress: count
})

export const RECORD_SCHEMAS: Readonly<Record<RecordKind, z.ZodType>> = {
  baseModel: z.strictObject({description: z.string().max(1000).optional()}),
  adapter: z.strictObject({baseModel: name, organisation: name}),
  version: z.strictObject({
    adapter: name,
    version: name,
    weights: z.string().min(1).max(1000)
  }),
  organisation: z.strictObject({
    keyHashes: z.array(hash).max(16),
    classes: z.array(z.enum(REQUEST_CLASSES)).min(1),
    maxInProgress: count
  }),
  backend: z.discriminatedUnion("kind", [modelEngine, plainService]),
  policy: z.strictObject({
    program: name,
    parameters: z.record(z.string(), z.number()).optional(),
    rules: z.partialRecord(z.enum(RULE_NAMES), z.string().max(MAX_RULE_LENGTH)).optional()
  }),
  activation: z.strictObject({policy: name}),
  operator: z.strictObject({keyHash: hash, roles: z.array(z.enum(OPERATOR_ROLES)).min(1)})
}

/** One record of a proposed change. */
export const proposedRecordSchema = z.strictObject({
  kind: z.enum(RECORD_KINDS),
  id: z.string().min(1).max(300),
  /** Undefined if the record is to be retired. */
  value: z.unknown().optional(),
  /**
   * The generation that the operator saw; any other is a conflict. 0 means must not
   * exist.
   */
  ifGeneration: z.number().int().nonnegative().optional()
})

/** A proposed change, applied as a whole or not at all. */
export const proposalSchema = z.strictObject({
  operation: z.string().regex(NAME_PATTERN).optional(),
  records: z.array(proposedRecordSchema).min(1).max(2000)
})

export type ProposedRecord = z.infer<typeof proposedRecordSchema>
export type Proposal = z.infer<typeof proposalSchema>

/** Whether a record's name is allowed for its kind. */
export function isValidId(kind: RecordKind, id: string): boolean {
  return (kind === "version" ? VERSION_ID_PATTERN : NAME_PATTERN).test(id)
}
