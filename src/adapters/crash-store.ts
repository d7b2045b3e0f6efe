/**
 * Stores in the key-value service which requests crash backend servers, in case all boxes
 * restart. A leader merges what it reads with its own records, so that a restore from an
 * older backup loses none.
 */
import * as z from "zod"
import {ANSWERED_CRASHES_TO_QUARANTINE} from "../core/crash-list.js"
import type {KvStore} from "../ports/ports.js"
import type {CrashReport} from "../types/crash-messages.js"
import {LeaderRecord} from "./leader-record.js"
import type {Log} from "./log.js"

/** Changes within this time are saved in one call. */
const SAVE_PAUSE_MS = 300

/** Requests with fewer crashes aren't stored. */
const MIN_CRASHES = 2

/** Limits the stored requests to those with the most crashes, some 12 KB. */
const MAX_REQUESTS = 100

/** Fingerprint, crashed server incarnations, trials. */
const storedCrashes = z
  .array(z.tuple([z.string(), z.array(z.string()), z.number().min(0)]))
  .max(MAX_REQUESTS)

export interface CrashStoreOptions {
  readonly kv: KvStore
  readonly key: string
  /** Whether this box certainly leads. */
  readonly leads: () => boolean
  readonly list: () => readonly CrashReport[]
  /** Called with the records of an earlier leader. */
  readonly onRead: (records: readonly CrashReport[]) => void
  readonly log: Log
}

export type CrashStore = LeaderRecord<z.infer<typeof storedCrashes>>

export function createCrashStore({
  list,
  onRead,
  ...options
}: CrashStoreOptions): CrashStore {
  return new LeaderRecord({
    ...options,
    schema: storedCrashes,
    savePauseMs: SAVE_PAUSE_MS,
    readAs: "crash-read",
    saveAs: "crash-save",
    current: () => selectStored(list()),
    onRead: stored => {
      if (!stored || stored.length === 0) return
      onRead(
        stored.map(([fingerprint, lives, trials]) => ({
          fingerprint,
          lives,
          trials,
          ageMs: 0
        }))
      )
    }
  })
}

function selectStored(reports: readonly CrashReport[]): z.infer<typeof storedCrashes> {
  return (
    reports
      .filter(({lives}) => lives.length >= MIN_CRASHES)
      // Most of what servers answered before is cleared soon, unlike what nobody remembers.
      .filter(
        ({lives, answered}) => !answered || lives.length >= ANSWERED_CRASHES_TO_QUARANTINE
      )
      .sort((a, b) => b.lives.length - a.lives.length)
      .slice(0, MAX_REQUESTS)
      .map(({fingerprint, lives, trials}) => [fingerprint, [...lives], trials])
  )
}
