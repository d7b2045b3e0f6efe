/**
 * Writes a value of the leader through a box that follows it. The key-value service may
 * reject only the leader's calls, while other boxes renew its lease. A leader that cannot
 * store the usage projection grants no allowances: with a third of 22 boxes rejected for 9 s,
 * the leader among them, all requests of organisations with limits were refused for that
 * time.
 *
 * Each write is conditional on the revision that it replaces, so it does not matter which
 * box sends it, when it is carried out, or whether it is sent twice.
 */
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvPutOptions, KvPutResult, KvStore} from "../ports/ports.js"
import type {WriteAnswer, WriteRequest} from "../types/box-messages.js"
import {startAnswerTimer} from "../utils/timers.js"

/** A box without an answer after this time may be rejected, too; the next one is asked. */
const ANSWER_TIMEOUT_MS = 150

/** Boxes that are asked for one write, one after the other. */
const MAX_BOXES = 3

type Result = Extract<WriteAnswer, {readonly result: string}>

export class WriteHelp {
  private lastRequest_ = 0
  private readonly waiting_ = new Map<number, (answer: Result) => void>()

  constructor(
    private readonly drawBoxes_: (count: number) => readonly string[],
    private readonly send_: (box: string, request: WriteRequest) => void
  ) {}

  /**
   * Rejects with `KvUnavailable` if no box could write, and with `KvUnknown` if one may
   * have.
   */
  async put(key: string, value: string, options: KvPutOptions): Promise<KvPutResult> {
    let isUnknown = false
    for (const box of this.drawBoxes_(MAX_BOXES)) {
      const answer = await this.ask(box, key, value, options)
      const {revision = 0, era} = answer
      if (answer.result === "written") return {ok: true, revision, era}
      if (answer.result === "conflict") {
        const current = revision > 0 ? {key, value: "", revision, era} : undefined
        return {ok: false, current}
      }
      isUnknown ||= answer.result === "unknown"
    }
    if (isUnknown) throw new KvUnknown("a box may have written the value")
    throw new KvUnavailable("no box could write the value")
  }

  /** Handles the answer of a box. */
  handleAnswer(answer: WriteAnswer): void {
    this.waiting_.get(answer.ask)?.(answer)
  }

  private ask(
    box: string,
    key: string,
    value: string,
    {expectRevision = 0, expectEra}: KvPutOptions
  ): Promise<Result> {
    const ask = ++this.lastRequest_
    return new Promise(resolve => {
      const settle = (answer: Result): void => {
        timer.clear()
        this.waiting_.delete(ask)
        resolve(answer)
      }
      const timer = startAnswerTimer(ANSWER_TIMEOUT_MS, () =>
        settle({ask, result: "unknown"})
      )
      this.waiting_.set(ask, settle)
      this.send_(box, {ask, key, value, expectRevision, expectEra})
    })
  }
}

/** Carries out a write for the leader. */
export async function writeForLeader(
  kv: KvStore,
  {ask, key, value, expectRevision, expectEra}: WriteRequest
): Promise<WriteAnswer> {
  try {
    const result = await kv.put(key, value, {expectRevision, expectEra})
    if (result.ok) {
      return {ask, result: "written", revision: result.revision, era: result.era}
    }
    const {revision, era} = result.current ?? {revision: 0}
    return {ask, result: "conflict", revision, era}
  } catch (cause) {
    if (cause instanceof KvUnavailable) return {ask, result: "unavailable"}
    if (cause instanceof KvUnknown) return {ask, result: "unknown"}
    throw cause
  }
}
