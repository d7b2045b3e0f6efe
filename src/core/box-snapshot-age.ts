/**
 * The age of the snapshot of the store (the key-value service) by which a box routes
 * requests.
 */
import type {BoxServing} from "./box-state.js"
import {STALE_MS} from "./snapshot-age.js"
import {type KnownEra, mayLackWrites, mergeEra} from "./eras.js"

/**
 * Records that the snapshot was as recent as can be had at that time. `read` is false if
 * that is so because nobody could read the key-value service.
 */
export function recordSnapshotTime(box: BoxServing, at: number, read = true): void {
  if (isSnapshotStale(box, at)) {
    box.serviceVersions.interrupt(at)
    box.effects.push({type: "read-versions"})
  }
  box.snapshotAt = Math.max(box.snapshotAt ?? -Infinity, at)
  if (read) box.readAt = Math.max(box.readAt ?? -Infinity, at)
}

/**
 * Records that the configuration in force here was read from the store at that time or
 * earlier.
 */
export function recordConfigRead(box: BoxServing, at: number): void {
  box.configReadAt = Math.max(box.configReadAt ?? -Infinity, at)
}

/**
 * Returns the time since the configuration in force here was read from the store;
 * Infinity if it never was. Shortly after a restore from an older backup, acknowledged
 * changes may still be missing from the store, so reads since the restore do not count.
 */
export function configAgeMs(box: BoxServing, now: number): number {
  const isJustRestored = mayLackWrites(box.era, now)
  return (
    now - ((isJustRestored ? box.configReadBeforeEra : box.configReadAt) ?? -Infinity)
  )
}

/**
 * Whether the configuration was read recently enough that what it lacks does not exist.
 */
export function isConfigCurrent(box: BoxServing, now: number): boolean {
  return configAgeMs(box, now) <= STALE_MS
}

/**
 * Records the era of the store. When the era goes up, the box keeps its state: what the
 * restored store lacks may have been acknowledged since the last store read.
 */
export function applyEra(box: BoxServing, era: KnownEra, wentUp: boolean): void {
  const readAt = readBeforeUpdateAt(box, era.begunBy)
  const configReadAt = era.begunBy - configAgeMs(box, era.begunBy)
  const knewEra = box.era?.era === era.era
  box.era = mergeEra(box.era, era)
  if (!wentUp) return
  // `begunBy` is only an upper bound, so it does not tell in which era a read was. A box
  // that knew the era already may have read nothing but the restored backup.
  const isBefore = (at: number): boolean => !knewEra && at < era.begunBy
  box.readBeforeEra = readAt !== undefined && isBefore(readAt) ? readAt : undefined
  box.configReadBeforeEra = isBefore(configReadAt) ? configReadAt : undefined
}

/**
 * Returns when the store was last read without the update that arrives now, or undefined
 * if no such read is known.
 */
export function readBeforeUpdateAt(box: BoxServing, now: number): number | undefined {
  return mayLackWrites(box.era, now) ? box.readBeforeEra : box.readAt
}

/**
 * Whether the store was read recently enough that what the snapshot lacks does not exist.
 * If nobody can read the store, requests still use the snapshot, but it cannot prove an
 * absence.
 */
export function isSnapshotCurrent({readAt, era}: BoxServing, now: number): boolean {
  if (mayLackWrites(era, now)) return false
  return readAt !== undefined && now - readAt <= STALE_MS
}

/**
 * Whether requests must wait for a newer snapshot. After a process pause, the requests
 * that arrived meanwhile are handled first and would be sent to servers that left long
 * ago.
 */
export function isSnapshotStale({snapshotAt}: BoxServing, now: number): boolean {
  return snapshotAt !== undefined && now - snapshotAt > STALE_MS
}
