/**
 * Lists the records that differ between two generations of the configuration, and who
 * changed them, as far as the changes are still kept.
 */
import type {ConfigChange, RecordChange, RecordKind} from "../types/config.js"

/** Record that differs between the generations. */
export interface RecordDifference {
  readonly kind: RecordKind
  readonly id: string
  /** Absent if the record did not exist, or if its last change is no longer kept. */
  readonly before?: unknown
  /** Absent if the record was retired. */
  readonly after?: unknown
  /** Generation, operator and time of the last change. */
  readonly generation: number
  readonly operator: string
  readonly at: number
}

/**
 * Returns the records changed after generation `from`, up to and including `to`, with
 * their values at `to`.
 */
export function findDifference(
  changes: readonly ConfigChange[],
  from: number,
  to: number
): RecordDifference[] {
  const before = new Map<string, unknown>()
  const found = new Map<string, RecordDifference>()
  for (const {generation, operator, at, records} of changes) {
    if (generation > to) break
    for (const record of records) {
      const {kind, id, value: after} = record
      const key = keyOf(record)
      if (generation <= from) before.set(key, after)
      else
        found.set(key, {
          kind,
          id,
          before: before.get(key),
          after,
          generation,
          operator,
          at
        })
    }
  }
  return [...found.values()].filter(
    ({before: was, after}) => JSON.stringify(was) !== JSON.stringify(after)
  )
}

function keyOf({kind, id}: RecordChange): string {
  return `${kind}/${id}`
}
