/** Accepts changes: a change is accepted when its log entry is durable, and not before. */
import {randomUUID} from "node:crypto"
import {checkChange, type ChangeContext, type CheckedChange} from "../core/changes.js"
import {KvUnavailable, SedgeError} from "../errors.js"
import type {KvStore} from "../ports/ports.js"
import type {ConfigChange} from "../types/config.js"
import type {Proposal} from "../types/records.js"
import {type ConfigSync, configLogKey} from "./config-sync.js"
import type {Log} from "./log.js"
import {KEYS} from "./platform-mirror.js"

/** How often a change is tried again after others came first. */
const MAX_RACES = 20

export interface AcceptedChange {
  readonly operation: string
  readonly generation: number
}

export class ChangeConflict extends SedgeError {
  constructor(readonly conflicts: CheckedChange["conflicts"]) {
    super("conflict", conflicts.map(({kind, id}) => `${kind} ${id}`).join(", "))
  }
}

/** A change whose fate is open; the operation id settles it. */
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

  /** Accepts a proposal, or rejects with what is wrong with it. */
  async accept(
    proposal: Proposal,
    operator: string,
    rules: Omit<ChangeContext, "seen">,
    dryRun: boolean
  ): Promise<AcceptedChange> {
    const operation = proposal.operation ?? randomUUID()
    await this.readLog()
    const done = proposal.operation && (await this.findOperation(operation))
    if (done) return done
    const seen = this.sync_.config.generation
    for (let race = 0; race < MAX_RACES; race++) {
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
      if (await this.append(change)) return this.announce(change)
      await this.readLog()
    }
    throw new SedgeError("conflict", "others kept coming first", 1_000)
  }

  /** Where an operation stands in the log; undefined when it is not in it. */
  async findOperation(operation: string): Promise<AcceptedChange | undefined> {
    const known = this.sync_.recent.find(change => change.operation === operation)
    if (known) return {operation, generation: known.generation}
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

  /** False when another change has the generation. */
  private async append(change: ConfigChange): Promise<boolean> {
    const key = this.prefix_ + configLogKey(change.generation)
    try {
      const result = await this.kv_.put(key, JSON.stringify(change), {expectRevision: 0})
      return result.ok
    } catch (cause) {
      if (cause instanceof KvUnavailable) {
        throw new SedgeError("unavailable", cause.message, 2_000)
      }
      return this.settle(key, change)
    }
  }

  /** The answer was lost: what stands there tells, if it can be read. */
  private async settle(key: string, change: ConfigChange): Promise<boolean> {
    try {
      const entry = await this.kv_.get(key)
      if (entry)
        return (JSON.parse(entry.value) as ConfigChange).operation === change.operation
    } catch {
      // Falls through to what is said of an unknown outcome.
    }
    this.log_("change-unknown", {operation: change.operation})
    throw new ChangeUnknown(change.operation)
  }

  /** Tells the watchers. Should that fail, they find the log entry when they next look. */
  private async announce(change: ConfigChange): Promise<AcceptedChange> {
    const {operation, generation, operator} = change
    this.sync_.takePage({t: "config-page", changes: [change]})
    this.log_("change-accepted", {operation, generation, operator})
    await this.raiseHead(generation).catch(() => undefined)
    return {operation, generation}
  }

  private async raiseHead(generation: number): Promise<void> {
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
