/**
 * Stores in the key-value service which software versions serve, so that boxes that all
 * restarted know whether one version alone can have begun a stream. A leader stores each
 * change at once; a box reads the record when it starts and after each gap in its list.
 */
import * as z from "zod"
import {
  MAX_RECORDED,
  type RecordedVersions,
  WHOLE_HISTORY_MS
} from "../core/service-versions.js"
import type {KvStore} from "../ports/ports.js"
import {pause} from "../utils/promises.js"
import {LeaderRecord} from "./leader-record.js"
import type {Log} from "./log.js"

/** Gathers the entries of servers that start together. */
const SAVE_PAUSE_MS = 20

const RETRY_PAUSE_MS = 300

const text = z.string().max(1_000)

const storedVersions = z.object({
  services: z
    .array(z.tuple([text, z.array(text).max(MAX_RECORDED)]).readonly())
    .max(MAX_RECORDED),
  observedMs: z.number().min(0).max(WHOLE_HISTORY_MS)
})

export interface VersionStoreOptions {
  readonly kv: KvStore
  readonly key: string
  /** Whether this box certainly leads. */
  readonly leads: () => boolean
  readonly current: () => RecordedVersions
  readonly onRead: (recorded: RecordedVersions) => void
  /** Resolves to whether it is known if the service lost writes by a restore. */
  readonly checkEra: () => Promise<boolean>
  /** Whether no box has run before, so that an empty store hides nothing. */
  readonly isFirstStart: boolean
  readonly log: Log
}

export class VersionStore {
  private readonly record_: LeaderRecord<RecordedVersions>
  private readonly checkEra_: () => Promise<boolean>
  private isReading_ = false

  constructor({isFirstStart, onRead, checkEra, ...options}: VersionStoreOptions) {
    this.checkEra_ = checkEra
    this.record_ = new LeaderRecord({
      ...options,
      schema: storedVersions as z.ZodType<RecordedVersions>,
      savePauseMs: SAVE_PAUSE_MS,
      readAs: "versions-read",
      saveAs: "versions-save",
      onRead: stored => {
        if (stored) return onRead(stored)
        if (isFirstStart) onRead({services: [], observedMs: WHOLE_HISTORY_MS})
      }
    })
  }

  resync(): void {
    this.record_.resync()
  }

  saveSoon(): void {
    this.record_.saveSoon()
  }

  /** Reads the record, again until the service answers. */
  async read(): Promise<void> {
    if (this.isReading_) return
    this.isReading_ = true
    while (!(await this.checkEra_()) || !(await this.record_.read())) {
      await pause(RETRY_PAUSE_MS)
    }
    this.isReading_ = false
  }
}
