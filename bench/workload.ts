/** Sends skewed traffic of several organisations to a deployment. */
import type {RandomGenerator} from "pure-rand"
import {createRandom, uniformFloat64} from "../src/utils/random.js"
import {callModel} from "../test/support/caller.js"
import type {Deployment} from "../test/support/deployment.js"
import type {Call} from "../test/support/oracle.js"

/** Creates an independent source of random numbers in [0, 1). */
export function createRandomSource(seed: number): () => number {
  let random: RandomGenerator = createRandom(seed)
  return () => {
    const [value, next] = uniformFloat64(random)
    random = next
    return value
  }
}

/** Creates a source of ranks from 0 to `size - 1` that follow Zipf's law. */
export function createZipf(
  size: number,
  exponent: number,
  draw: () => number
): () => number {
  const sums: number[] = []
  let sum = 0
  for (let rank = 1; rank <= size; rank++) sums.push((sum += rank ** -exponent))
  return () => {
    const target = draw() * sum
    let low = 0
    let high = size - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if ((sums[middle] ?? 0) < target) low = middle + 1
      else high = middle
    }
    return low
  }
}

export interface WorkloadOptions {
  readonly requests: number
  readonly requestsPerSecond: number
  readonly zipfExponent: number
  readonly seed: number
  /** Fraction of requests that must run at most once. */
  readonly onceFraction: number
  /** Fraction of those that callers also send to another box, whatever the result. */
  readonly repeatFraction: number
  readonly maxTokens: number
  readonly onSent?: (count: number) => void
}

/** Sends the workload. Resolves with all calls when the last one has ended. */
export async function runWorkload(
  deployment: Deployment,
  options: WorkloadOptions
): Promise<Call[]> {
  const draw = createRandomSource(options.seed)
  const zipf = createZipf(deployment.models.length, options.zipfExponent, draw)
  const order = shuffle(deployment.models, draw)
  const calls: Call[] = []
  const pending: Promise<void>[] = []
  const startedAt = Date.now()
  for (let count = 0; count < options.requests; count++) {
    const due = startedAt + (count / options.requestsPerSecond) * 1000
    if (due > Date.now()) await new Promise(done => setTimeout(done, due - Date.now()))
    const once = draw() < options.onceFraction
    const plan = {
      tag: `t${options.seed}-${count}`,
      model: order[zipf()] ?? "",
      tokens: 1 + Math.floor(draw() * options.maxTokens),
      stream: draw() < 0.7,
      once,
      repeat: once && draw() < options.repeatFraction,
      box: Math.floor(draw() * deployment.boxes.length)
    }
    pending.push(sendPlan(deployment, plan, calls))
    options.onSent?.(count + 1)
  }
  await Promise.all(pending)
  return calls
}

interface Plan {
  readonly tag: string
  readonly model: string
  readonly tokens: number
  readonly stream: boolean
  readonly once: boolean
  readonly repeat: boolean
  readonly box: number
}

async function sendPlan(
  deployment: Deployment,
  plan: Plan,
  calls: Call[]
): Promise<void> {
  const first = sendOnce(deployment, plan, plan.box, calls)
  const retry = plan.repeat ? sendOnce(deployment, plan, plan.box + 1, calls) : undefined
  await Promise.all([first, retry])
}

async function sendOnce(
  deployment: Deployment,
  plan: Plan,
  boxIndex: number,
  calls: Call[]
): Promise<void> {
  const {tag, model, tokens, stream, once} = plan
  const organisation = deployment.organisationOf(model)
  const box = deployment.boxes[boxIndex % deployment.boxes.length]
  const sentAt = Date.now()
  const entry = box?.entry
  const result = await callModel({
    entry: box?.entryAddress ?? "",
    model,
    organisation,
    tokens,
    stream,
    prompt: tag,
    key: once ? tag : undefined
  })
  calls.push({
    tag,
    organisation,
    model,
    tokens,
    once,
    sentAt,
    result,
    entryDied: entry?.ending
  })
}

function shuffle<T>(items: readonly T[], draw: () => number): T[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index--) {
    const other = Math.floor(draw() * (index + 1))
    const item = shuffled[index] as T
    shuffled[index] = shuffled[other] as T
    shuffled[other] = item
  }
  return shuffled
}
