/** Accepts configuration changes. A change is accepted once its log entry is durable. */
import {randomUUID} from "node:crypto"
import {checkChange, type ChangeContext, type CheckedChange} from "../core/changes.js"
import {KvUnavailable, SedgeError} from "../errors.js"
import type {KvStore} from "../ports/ports.js"
import type {ConfigChange} from "../types/config.js"
import type {Proposal} from "../types/records.js"
import {type ConfigSync, configLogKey} from "./config-sync.js"
import type {Log} from "./log.js"
import {KEYS} from "./platform-mirror.js"

/** Attempts to append a change while concurrent changes take its generation. */
const MAX_APPENDS = 20

export interface AcceptedChange {
  readonly operation: string
  readonly generation: number
}

export class ChangeConflict extends SedgeError {
  constructor(readonly conflicts: CheckedChange["conflicts"]) {
    super("conflict", conflicts.map(({kind, id}) => `${kind} ${id}`).join(", "))
  }
}

/**
 * It is unknown whether a change was accepted. Looking up its operation id, or retrying
 * with it, resolves this.
 */
export class ChangeUnknown extends SedgeError {
  constructor(readonly operation: string) {
    super(
      "outcome-unknown",
      `ask for operation ${operation}, or send it again as that`,
      2_000
    )
  }
}

export class ConfigWriter {
  constructor(
    private readonly kv_: KvStore,
    private readonly prefix_: string,
    private readonly sync_: ConfigSync,
    private readonly log_: Log
  ) {}

  /** Accepts a proposal, or rejects with its conflicts or findings. */
  async accept(
    proposal: Proposal,
    operator: string,
    rules: Omit<ChangeContext, "seen">,
    dryRun: boolean
  ): Promise<AcceptedChange> {
    const operation = proposal.operation ?? randomUUID()
    await this.readLog()
    const previous = proposal.operation && (await this.findOperation(operation))
    if (previous) return previous
    const seen = this.sync_.config.generation
    for (let attempt = 0; attempt < MAX_APPENDS; attempt++) {
      const {records, findings, conflicts} = checkChange(
        this.sync_.config,
        proposal.records,
        {
          ...rules,
          seen
        }
      )
      if (conflicts.length > 0) throw new ChangeConflict(conflicts)
      if (findings.length > 0)
        throw new SedgeError("invalid-change", "", undefined, findings)
      const generation = this.sync_.config.generation + 1
      if (dryRun) return {operation, generation}
      const change: ConfigChange = {
        generation,
        operation,
        operator,
        at: Date.now(),
        records
      }
      if (await this.append(change)) return this.publish(change)
      await this.readLog()
    }
    throw new SedgeError("conflict", "others kept coming first", 1_000)
  }

  /** Looks up an operation in the log. Resolves to undefined if it is not there. */
  async findOperation(operation: string): Promise<AcceptedChange | undefined> {
    const recent = this.sync_.recent.find(change => change.operation === operation)
    if (recent) return {operation, generation: recent.generation}
    const {entries} = await this.kv_.list(this.prefix_ + KEYS.configLog)
    for (const {value} of entries) {
      const change = JSON.parse(value) as ConfigChange
      if (change.operation === operation)
        return {operation, generation: change.generation}
    }
    return undefined
  }

  private async readLog(): Promise<void> {
    try {
      await this.sync_.read()
    } catch (cause) {
      throw new SedgeError("unavailable", (cause as Error).message, 2_000)
    }
  }

  /** Resolves to false if another change already has this generation. */
  private async append(change: ConfigChange): Promise<boolean> {
    const key = this.prefix_ + configLogKey(change.generation)
    try {
      const result = await this.kv_.put(key, JSON.stringify(change), {expectRevision: 0})
      return result.ok
    } catch (cause) {
      if (cause instanceof KvUnavailable) {
        throw new SedgeError("unavailable", cause.message, 2_000)
      }
      return this.resolveLostAnswer(key, change)
    }
  }

  /** After a lost answer, reads the log entry to see whether the write took effect. */
  private async resolveLostAnswer(key: string, change: ConfigChange): Promise<boolean> {
    try {
      const entry = await this.kv_.get(key)
      if (entry)
        return (JSON.parse(entry.value) as ConfigChange).operation === change.operation
    } catch {
      // The outcome stays unknown.
    }
    this.log_("change-unknown", {operation: change.operation})
    throw new ChangeUnknown(change.operation)
  }

  /** Notifies the watchers. If that fails, they find the log entry at their next poll. */
  private async publish(change: ConfigChange): Promise<AcceptedChange> {
    const {operation, generation, operator} = change
    this.sync_.takePage({t: "config-page", changes: [change]})
    this.log_("change-accepted", {operation, generation, operator})
    await this.advanceHead(generation).catch(() => undefined)
    return {operation, generation}
  }

  private async advanceHead(generation: number): Promise<void> {
    const key = this.prefix_ + KEYS.head
    for (;;) {
      const head = await this.kv_.get(key)
      if (head && Number(head.value) >= generation) return
      const expectRevision = head?.revision ?? 0
      const result = await this.kv_.put(key, String(generation), {expectRevision})
      if (result.ok) return
    }
  }
}
