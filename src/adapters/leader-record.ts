/**
 * A value that the leader keeps in the key-value service, in case all boxes restart. A new
 * leader reads it before it writes, so that its own value can include what was stored.
 */
import type * as z from "zod"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {StoreCaller} from "../types/store-calls.js"
import {pause} from "../utils/promises.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** Pause after a failed call. */
const FAILURE_PAUSE_MS = 300

export interface LeaderRecordOptions<T> {
  readonly kv: KvStore
  readonly key: string
  readonly schema: z.ZodType<T>
  /** Changes within this time are saved in one call. */
  readonly savePauseMs: number
  readonly readAs: StoreCaller
  readonly saveAs: StoreCaller
  /** Whether this box certainly leads. */
  readonly leads: () => boolean
  readonly current: () => T
  /** Called with the stored value. Undefined if nothing is stored. */
  readonly onRead: (value: T | undefined) => void
  readonly log: Log
}

export class LeaderRecord<T> {
  /** Position of the value last read or written. Undefined if it must be read first. */
  private position_: Pick<KvEntry, "revision" | "era"> | undefined
  private savedText_: string | undefined
  private isSaving_ = false

  constructor(private readonly options_: LeaderRecordOptions<T>) {}

  /**
   * Reads the stored value again before the next save. Called when this box starts to
   * lead, or when the service was restored from an older backup.
   */
  resync(): void {
    this.position_ = undefined
    this.saveSoon()
  }

  /** Saves this box's value after the stored one is read, if this box leads. */
  saveSoon(): void {
    if (this.isSaving_) return
    this.isSaving_ = true
    void this.settle().finally(() => (this.isSaving_ = false))
  }

  /** Reads the stored value. Returns whether the service answered. */
  async read(): Promise<boolean> {
    return this.reportFailure(async () => {
      await this.readStored()
      return true
    })
  }

  private async settle(): Promise<void> {
    while (!(await this.reportFailure(() => this.saveOnce()))) {
      await pause(FAILURE_PAUSE_MS)
    }
  }

  /** Saves once. Returns whether nothing is left to save or this box no longer leads. */
  private async saveOnce(): Promise<boolean> {
    while (this.options_.leads()) {
      this.position_ ??= await this.readStored()
      if (this.serialize() === this.savedText_) return true
      await pause(this.options_.savePauseMs)
      await this.save()
    }
    return true
  }

  private async readStored(): Promise<Pick<KvEntry, "revision" | "era">> {
    const {key, schema, onRead, log} = this.options_
    const entry = await this.storeFor(this.options_.readAs).get(key)
    this.savedText_ = entry?.value
    if (!entry) {
      onRead(undefined)
      return {revision: 0}
    }
    const {success, data, error} = schema.safeParse(parse(entry.value))
    const {revision} = entry
    if (success) onRead(data)
    else log("entry-unreadable", {key, revision, reason: error.message})
    return entry
  }

  private async save(): Promise<void> {
    if (!this.position_ || !this.options_.leads()) return
    const text = this.serialize()
    const {revision, era} = this.position_
    const options = {expectRevision: revision, expectEra: era}
    const {key, saveAs} = this.options_
    const result = await this.storeFor(saveAs).put(key, text, options)
    this.position_ = result.ok ? {revision: result.revision, era: result.era} : undefined
    if (result.ok) this.savedText_ = text
  }

  /** Runs calls to the service. Returns false if one failed. */
  private async reportFailure(calls: () => Promise<boolean>): Promise<boolean> {
    try {
      return await calls()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      this.position_ = undefined
      const {key, log} = this.options_
      log("kv-trouble", {prefix: key, reason: cause.message})
      return false
    }
  }

  private serialize(): string {
    return JSON.stringify(this.options_.current())
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
