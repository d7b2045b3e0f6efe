/**
 * Stores in the key-value service which requests crash backend servers, in case all boxes
 * restart. A leader merges what it reads with its own records, so that a restore from an
 * older backup loses none.
 */
import * as z from "zod"
import {ANSWERED_CRASHES_TO_QUARANTINE} from "../core/crash-list.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {CrashReport} from "../types/crash-messages.js"
import type {StoreCaller} from "../types/store-calls.js"
import {pause} from "../utils/promises.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** Changes within this time are saved in one call. Also the pause after a failed call. */
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

export class CrashStore {
  /** Position of the value last read or written. Undefined if it must be read first. */
  private position_: Pick<KvEntry, "revision" | "era"> | undefined
  private savedText_ = "[]"
  private isSaving_ = false

  constructor(private readonly options_: CrashStoreOptions) {}

  /**
   * Reads the stored value again before the next save. Called when this box starts to
   * lead, or when the service was restored from an older backup.
   */
  resync(): void {
    this.position_ = undefined
    this.saveSoon()
  }

  /** Saves this box's records after the stored value is read. */
  saveSoon(): void {
    if (this.isSaving_) return
    this.isSaving_ = true
    void this.settle().finally(() => (this.isSaving_ = false))
  }

  private async settle(): Promise<void> {
    while (!(await this.saveOnce())) await pause(SAVE_PAUSE_MS)
  }

  /** Saves once. Returns whether nothing is left to save or this box no longer leads. */
  private async saveOnce(): Promise<boolean> {
    if (!this.options_.leads()) return true
    try {
      if (!this.position_) await this.read()
      const text = this.serialize()
      if (text === this.savedText_) return true
      await pause(SAVE_PAUSE_MS)
      await this.save()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      this.position_ = undefined
      const {key, log} = this.options_
      log("kv-trouble", {prefix: key, reason: cause.message})
    }
    return false
  }

  private async read(): Promise<void> {
    const {key, onRead: learned, log} = this.options_
    const entry = await this.storeFor("crash-read").get(key)
    this.position_ = entry ?? {revision: 0}
    this.savedText_ = entry?.value ?? "[]"
    const {success, data, error} = storedCrashes.safeParse(parse(this.savedText_))
    if (!success) {
      const revision = entry?.revision ?? 0
      return log("entry-unreadable", {key, revision, reason: error.message})
    }
    if (data.length === 0) return
    learned(
      data.map(([fingerprint, lives, trials]) => ({fingerprint, lives, trials, ageMs: 0}))
    )
  }

  private async save(): Promise<void> {
    if (!this.position_ || !this.options_.leads()) return
    const text = this.serialize()
    const {revision, era} = this.position_
    const options = {expectRevision: revision, expectEra: era}
    const result = await this.storeFor("crash-save").put(this.options_.key, text, options)
    this.position_ = result.ok ? {revision: result.revision, era: result.era} : undefined
    if (result.ok) this.savedText_ = text
  }

  private serialize(): string {
    const kept = this.options_
      .list()
      .filter(({lives}) => lives.length >= MIN_CRASHES)
      // Most of what servers answered before is cleared soon, unlike what nobody remembers.
      .filter(
        ({lives, answered}) => !answered || lives.length >= ANSWERED_CRASHES_TO_QUARANTINE
      )
      .sort((a, b) => b.lives.length - a.lives.length)
      .slice(0, MAX_REQUESTS)
    return JSON.stringify(
      kept.map(({fingerprint, lives, trials}) => [fingerprint, lives, trials])
    )
  }

  private storeFor(caller: StoreCaller): KvStore {
    return callAs(this.options_.kv, {caller})
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
