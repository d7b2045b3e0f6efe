/** Compacts the configuration log: writes a snapshot, then removes older entries. */
import {listRecords} from "../core/configuration.js"
import type {KvStore} from "../ports/ports.js"
import type {SnapshotRecord} from "../types/config.js"
import {
  type ConfigSync,
  configLogKey,
  type SnapshotPointer,
  snapshotPartKey
} from "./config-sync.js"
import {KEYS} from "./platform-mirror.js"

const SNAPSHOT_INTERVAL_CHANGES = 500
/** Older log entries are kept for processes that are slightly behind. */
const CHANGES_KEPT_BEFORE_SNAPSHOT = 100
/** The key-value service limits values to 1 MB; this leaves room for the encoding. */
const MAX_PART_BYTES = 500_000

/**
 * Writes a snapshot in parts if one is due, and resolves to whether it did. Boxes that
 * do so at the same time write identical parts.
 */
export async function compactLog(
  kv: KvStore,
  prefix: string,
  sync: ConfigSync
): Promise<boolean> {
  const {config} = sync
  const pointer = await kv.get(prefix + KEYS.snapshot)
  const last = pointer ? (JSON.parse(pointer.value) as SnapshotPointer) : undefined
  if (config.generation - (last?.generation ?? 0) < SNAPSHOT_INTERVAL_CHANGES)
    return false
  const parts = splitRecords(listRecords(config))
  for (const [part, records] of parts.entries()) {
    const key = prefix + snapshotPartKey(config.generation, part)
    await kv.put(key, JSON.stringify(records))
  }
  const next: SnapshotPointer = {generation: config.generation, parts: parts.length}
  const expectRevision = pointer?.revision ?? 0
  const result = await kv.put(prefix + KEYS.snapshot, JSON.stringify(next), {
    expectRevision
  })
  if (!result.ok) return false
  await kv.removeRange(
    prefix + KEYS.configLog,
    prefix + configLogKey(Math.max(0, config.generation - CHANGES_KEPT_BEFORE_SNAPSHOT))
  )
  if (last) await removeParts(kv, prefix, last)
  return true
}

async function removeParts(
  kv: KvStore,
  prefix: string,
  old: SnapshotPointer
): Promise<void> {
  for (let part = 0; part < old.parts; part++) {
    await kv.remove(prefix + snapshotPartKey(old.generation, part))
  }
}

function splitRecords(records: readonly SnapshotRecord[]): SnapshotRecord[][] {
  const parts: SnapshotRecord[][] = []
  let part: SnapshotRecord[] = []
  let bytes = 0
  for (const record of records) {
    const size = JSON.stringify(record).length
    if (bytes + size > MAX_PART_BYTES && part.length > 0) {
      parts.push(part)
      part = []
      bytes = 0
    }
    part.push(record)
    bytes += size
  }
  if (part.length > 0) parts.push(part)
  return parts
}
