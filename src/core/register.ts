/**
 * The register of requests that must run at most once. Each shard has one owner. A key is
 * granted only after its line is durable; many lines share one write.
 */
import type {KeeperMessage, KeyState, Reserve, Settle} from "../types/messages.js"
import type {Timing} from "./timing.js"

/** A line of a shard's log in the key-value service. */
export interface RegisterLine {
  readonly key: string
  readonly attempt: string
  readonly body: string
  readonly state: "started" | Settle["state"]
  /** Milliseconds since the Unix epoch, by the owner's clock. */
  readonly at: number
}

interface KeyRecord extends RegisterLine {
  /** Whether the line is durable. The key isn't granted before. */
  readonly durable: boolean
  /** Read from an earlier owner's log, so the request may or may not still run. */
  readonly inherited: boolean
}

/** A `reserve` that arrived before the log was read. */
interface DeferredReserve {
  readonly entry: string
  readonly reserve: Reserve
}

export interface RegisterState {
  readonly shard: string
  readonly fence: number
  /** Whether the log of earlier owners has been read and sealed. */
  readonly ready: boolean
  readonly keys: ReadonlyMap<string, KeyRecord>
  /**
   * Messages deferred until the log is read, in order of arrival, as a settle may follow
   * its reserve.
   */
  readonly deferred: readonly (DeferredReserve | Settle)[]
  /** Lines not yet written, oldest first. */
  readonly pending: readonly RegisterLine[]
  /** Lines of the pending write. */
  readonly writing: readonly RegisterLine[]
  /** The entry that waits for each attempt. */
  readonly waitingEntries: ReadonlyMap<string, string>
  readonly lastWriteAt: number
}

export type RegisterEffect =
  | {readonly type: "send"; readonly to: string; readonly message: KeeperMessage}
  | {readonly type: "open-register"; readonly shard: string; readonly fence: number}
  | {
      readonly type: "write-register"
      readonly shard: string
      readonly fence: number
      readonly lines: readonly RegisterLine[]
    }

export interface RegisterStep {
  readonly state: RegisterState
  readonly effects: readonly RegisterEffect[]
}

/** Returns the state of a shard after a takeover; its log is read before any grant. */
export function createRegister(shard: string, fence: number): RegisterStep {
  const state: RegisterState = {
    shard,
    fence,
    ready: false,
    keys: new Map(),
    deferred: [],
    pending: [],
    writing: [],
    waitingEntries: new Map(),
    lastWriteAt: 0
  }
  return {state, effects: [{type: "open-register", shard, fence}]}
}

/** Applies the log of earlier owners, then the messages that arrived meanwhile. */
export function openRegister(
  state: RegisterState,
  lines: readonly RegisterLine[],
  epochMs: number,
  timing: Timing
): RegisterStep {
  const keys = new Map<string, KeyRecord>()
  for (const line of lines) {
    if (epochMs - line.at > timing.keyRetentionMs) continue
    keys.set(line.key, {...line, durable: true, inherited: true})
  }
  const opened = {...state, ready: true, keys, early: []}
  return state.deferred.reduce<RegisterStep>(
    (step, message) => chain(step, next => applyEarly(next, message, epochMs, timing)),
    {state: opened, effects: []}
  )
}

function applyEarly(
  state: RegisterState,
  message: DeferredReserve | Settle,
  epochMs: number,
  timing: Timing
): RegisterStep {
  if ("t" in message) return withoutEffects(settleKey(state, message))
  return reserveKey(state, message.entry, message.reserve, epochMs, timing)
}

/** Answers from the recorded state of the key, or queues a line for the next write. */
export function reserveKey(
  state: RegisterState,
  entry: string,
  reserve: Reserve,
  epochMs: number,
  timing: Timing
): RegisterStep {
  if (!state.ready)
    return withoutEffects({...state, deferred: [...state.deferred, {entry, reserve}]})
  const record = state.keys.get(reserve.key)
  const fresh =
    record && epochMs - record.at <= timing.keyRetentionMs ? record : undefined
  if (fresh && fresh.body !== reserve.body)
    return answer(state, entry, reserve, "other-body")
  if (fresh && fresh.attempt === reserve.attempt && fresh.state === "started") {
    return answerRetry(state, entry, reserve, fresh)
  }
  if (fresh && fresh.state !== "not-run") {
    return answer(state, entry, reserve, describeKey(fresh))
  }
  return startKey(state, entry, reserve, epochMs)
}

/** Answers a repeated `reserve` of the same attempt. */
function answerRetry(
  state: RegisterState,
  entry: string,
  reserve: Reserve,
  record: KeyRecord
): RegisterStep {
  if (!record.durable) {
    return withoutEffects({
      ...state,
      waitingEntries: new Map(state.waitingEntries).set(reserve.attempt, entry)
    })
  }
  return {state, effects: [sendReserved(entry, reserve.key, reserve.attempt)]}
}

function startKey(
  state: RegisterState,
  entry: string,
  {key, attempt, body}: Reserve,
  epochMs: number
): RegisterStep {
  const line: RegisterLine = {key, attempt, body, state: "started", at: epochMs}
  return withoutEffects({
    ...state,
    keys: new Map(state.keys).set(key, {...line, durable: false, inherited: false}),
    pending: [...state.pending, line],
    waitingEntries: new Map(state.waitingEntries).set(attempt, entry)
  })
}

/** Records the end of an attempt. The next write persists it; no entry waits for it. */
export function settleKey(state: RegisterState, settle: Settle): RegisterState {
  if (!state.ready) return {...state, deferred: [...state.deferred, settle]}
  const record = state.keys.get(settle.key)
  // The first recorded end is final.
  if (record?.attempt !== settle.attempt || record.state !== "started") return state
  const {key, attempt, body, at} = record
  const line: RegisterLine = {key, attempt, body, state: settle.state, at}
  const waiting = new Map(state.waitingEntries)
  waiting.delete(attempt)
  return {
    ...state,
    waitingEntries: waiting,
    keys: new Map(state.keys).set(key, {
      ...line,
      durable: record.durable,
      inherited: false
    }),
    pending: [...state.pending, line]
  }
}

/** Starts a write if one is due. */
export function writeRegister(
  state: RegisterState,
  now: number,
  timing: Timing
): RegisterStep {
  const due = now - state.lastWriteAt >= timing.commitIntervalMs
  if (!state.ready || !due || state.writing.length > 0 || state.pending.length === 0) {
    return withoutEffects(state)
  }
  const {shard, fence, pending} = state
  return {
    state: {...state, writing: pending, pending: [], lastWriteAt: now},
    effects: [{type: "write-register", shard, fence, lines: pending}]
  }
}

/** Handles a durable write: grants the keys of its lines to the waiting entries. */
export function handleWriteDone(state: RegisterState): RegisterStep {
  const keys = new Map(state.keys)
  const waiting = new Map(state.waitingEntries)
  const effects: RegisterEffect[] = []
  for (const {key, attempt} of state.writing) {
    const record = keys.get(key)
    if (record?.attempt === attempt) keys.set(key, {...record, durable: true})
    const entry = waiting.get(attempt)
    if (entry === undefined) continue
    waiting.delete(attempt)
    effects.push(sendReserved(entry, key, attempt))
  }
  return {state: {...state, keys, waitingEntries: waiting, writing: []}, effects}
}

/**
 * Handles a write that failed or whose answer was lost. Nothing was granted, so its
 * attempts did not run. The next write corrects their lines, in case this one took
 * effect.
 */
export function handleWriteFailed(state: RegisterState): RegisterStep {
  const keys = new Map(state.keys)
  const waiting = new Map(state.waitingEntries)
  const effects: RegisterEffect[] = []
  const corrections: RegisterLine[] = []
  for (const line of state.writing) {
    const entry = waiting.get(line.attempt)
    if (line.state !== "started" || entry === undefined) {
      corrections.push(line)
      continue
    }
    waiting.delete(line.attempt)
    const ended: RegisterLine = {...line, state: "not-run"}
    keys.set(line.key, {...ended, durable: false, inherited: false})
    corrections.push(ended)
    effects.push(sendKnown(entry, line.key, line.attempt, "no-record"))
  }
  const pending = [...corrections, ...state.pending]
  return {state: {...state, keys, waitingEntries: waiting, writing: [], pending}, effects}
}

/** Removes the keys past their retention time. */
export function removeExpiredKeys(
  state: RegisterState,
  epochMs: number,
  timing: Timing
): RegisterState {
  const keys = new Map<string, KeyRecord>()
  for (const [key, record] of state.keys) {
    if (epochMs - record.at <= timing.keyRetentionMs) keys.set(key, record)
  }
  return keys.size === state.keys.size ? state : {...state, keys}
}

function describeKey({state, inherited}: KeyRecord): KeyState {
  if (state === "answered") return "answered"
  if (state === "started" && !inherited) return "running"
  return "unknown"
}

function answer(
  state: RegisterState,
  entry: string,
  {key, attempt}: Reserve,
  keyState: KeyState | "other-body"
): RegisterStep {
  return {state, effects: [sendKnown(entry, key, attempt, keyState)]}
}

function sendKnown(
  to: string,
  key: string,
  attempt: string,
  state: KeyState | "other-body" | "no-record"
): RegisterEffect {
  return {type: "send", to, message: {t: "known", key, attempt, state}}
}

function sendReserved(to: string, key: string, attempt: string): RegisterEffect {
  return {type: "send", to, message: {t: "reserved", key, attempt}}
}

function withoutEffects(state: RegisterState): RegisterStep {
  return {state, effects: []}
}

function chain(
  step: RegisterStep,
  next: (state: RegisterState) => RegisterStep
): RegisterStep {
  const following = next(step.state)
  return {state: following.state, effects: [...step.effects, ...following.effects]}
}
