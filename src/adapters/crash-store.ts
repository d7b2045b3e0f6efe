/**
 * Keeps in the key-value service which requests crash backend servers, for a leader whose boxes have all been
 * restarted. What is read is merged with what the leader knows, so that an older copy of the service does no harm.
 */
import * as z from "zod"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {CrashReport} from "../types/crash-messages.js"
import type {StoreCaller} from "../types/store-calls.js"
import {pause} from "../utils/promises.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** Changes within this go out in one call, milliseconds; also the pause after a call that failed. */
const SAVE_PAUSE_MS = 300

/** A request is kept from so many crashes on. */
const LEAST_CRASHES = 2

/** Requests that are kept, those with the most crashes first: some 12 KB. */
const MAX_KEPT = 100

/** Fingerprint, lives of servers, trials. */
const stored = z
  .array(z.tuple([z.string(), z.array(z.string()), z.number().min(0)]))
  .max(MAX_KEPT)

export interface CrashStoreOptions {
  readonly kv: KvStore
  readonly key: string
  /** Whether this box leads for sure. */
  readonly leads: () => boolean
  readonly list: () => readonly CrashReport[]
  /** What an earlier leader stored. */
  readonly learned: (records: readonly CrashReport[]) => void
  readonly log: Log
}

export class CrashStore {
  /** Where the value stands that this box read or wrote last; undefined: it has not read it yet. */
  private place_: Pick<KvEntry, "revision" | "era"> | undefined
  private saved_ = "[]"
  private busy_ = false

  constructor(private readonly options_: CrashStoreOptions) {}

  /** This box leads from now on, or the service came back from an older copy. */
  begin(): void {
    this.place_ = undefined
    this.saveSoon()
  }

  /** Stores what the box knows, after what was stored is read. */
  saveSoon(): void {
    if (this.busy_) return
    this.busy_ = true
    void this.settle().finally(() => (this.busy_ = false))
  }

  private async settle(): Promise<void> {
    while (!(await this.isSettled())) await pause(SAVE_PAUSE_MS)
  }

  /** Whether nothing is left to do, or it is no more this box's to do. */
  private async isSettled(): Promise<boolean> {
    if (!this.options_.leads()) return true
    try {
      if (!this.place_) await this.read()
      const text = this.write()
      if (text === this.saved_) return true
      await pause(SAVE_PAUSE_MS)
      await this.save()
    } catch (cause) {
      if (!(cause instanceof KvUnavailable || cause instanceof KvUnknown)) throw cause
      this.place_ = undefined
      const {key, log} = this.options_
      log("kv-trouble", {prefix: key, reason: cause.message})
    }
    return false
  }

  private async read(): Promise<void> {
    const {key, learned, log} = this.options_
    const entry = await this.as("crash-read").get(key)
    this.place_ = entry ?? {revision: 0}
    this.saved_ = entry?.value ?? "[]"
    const {success, data, error} = stored.safeParse(parse(this.saved_))
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
    if (!this.place_ || !this.options_.leads()) return
    const text = this.write()
    const {revision, era} = this.place_
    const options = {expectRevision: revision, expectEra: era}
    const result = await this.as("crash-save").put(this.options_.key, text, options)
    this.place_ = result.ok ? {revision: result.revision, era: result.era} : undefined
    if (result.ok) this.saved_ = text
  }

  private write(): string {
    const kept = this.options_
      .list()
      .filter(({lives}) => lives.length >= LEAST_CRASHES)
      .sort((a, b) => b.lives.length - a.lives.length)
      .slice(0, MAX_KEPT)
    return JSON.stringify(
      kept.map(({fingerprint, lives, trials}) => [fingerprint, lives, trials])
    )
  }

  private as(caller: StoreCaller): KvStore {
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
