/** Sends the calls of a test and records them for the oracle. */
import {callModel, type CallOptions, type CallResult} from "./caller.js"
import type {Box, Deployment} from "./deployment.js"
import {type Call, countViolations, judge, readEngines} from "./oracle.js"

export type CallChoice = Partial<Omit<CallOptions, "entry" | "organisation">> & {
  readonly tag?: string
}

export class Calls {
  readonly made: Call[] = []
  private next_ = 0

  constructor(private readonly deployment_: Deployment) {}

  /** Sends a request to a box. */
  async send(box: Box, choice: CallChoice = {}): Promise<CallResult> {
    const model = choice.model ?? this.deployment_.models[0] ?? ""
    const tag = choice.tag ?? `call-${this.next_++}`
    const organisation = this.deployment_.organisationOf(model)
    const tokens = choice.tokens ?? 4
    const sentAt = Date.now()
    const result = await callModel({
      ...choice,
      entry: box.entryAddress,
      model,
      organisation,
      tokens,
      prompt: tag
    })
    const once = choice.key !== undefined || choice.notRepeatable === true
    this.made.push({tag, organisation, model, tokens, once, sentAt, result})
    return result
  }

  /** Sends requests one at a time to alternating boxes until a promise settles. */
  async sendContinuously(
    boxes: () => readonly Box[],
    until: Promise<unknown>,
    models = 8
  ): Promise<void> {
    let isStopped = false
    void until.finally(() => (isStopped = true))
    for (let count = 0; !isStopped; count++) {
      const usable = boxes()
      const box = usable[count % usable.length]
      const model = this.deployment_.models[count % models]
      if (box) await this.send(box, {model, tokens: 1 + (count % 6)})
      else await new Promise(done => setTimeout(done, 10))
    }
  }

  /** Returns the times at which engines started a request with the tag. */
  async startsOf(tag: string): Promise<number[]> {
    const engines = await readEngines(this.deployment_)
    const lines = engines.flatMap(({log}) => log)
    return lines
      .filter(line => line.kind === "start" && line.tag === tag)
      .map(line => line.at)
  }

  /** Returns the violations that the oracle finds as text, or an empty string. */
  async violations(): Promise<string> {
    const found = judge(this.made, await readEngines(this.deployment_))
    return countViolations(found) === 0 ? "" : JSON.stringify(found)
  }
}
