/** Shared parts of prompts that crash the stand-in workers that answer them. */
import type {IncomingHttpHeaders} from "node:http"

/**
 * When a worker crashes because of a part: as its answer begins, before the head or after
 * the head and the first bytes.
 */
export type PartCrashMoment = "before-head" | "in-stream"

/** A part of a prompt under which a worker crashes, and when it does. */
export interface GuiltyPart {
  readonly part: string
  readonly moment: PartCrashMoment
}

/** A crash of a worker that answered a request with a guilty part. */
export interface PartCrash extends GuiltyPart {
  readonly id: string
  readonly worker: string
  readonly at: number
}

/** A request with shared parts that reached a worker, whether or not it ran there. */
export interface PromptArrival {
  readonly id: string
  readonly worker: string
  readonly parts: readonly string[]
  readonly at: number
}

/** The guilty parts of now, and what workers observed of requests with shared parts. */
export class CrashingParts {
  readonly crashes: PartCrash[] = []
  readonly arrivals: PromptArrival[] = []
  /** When parts that were guilty were repaired. */
  readonly repairs = new Map<string, number>()
  private readonly guilty_ = new Map<string, PartCrashMoment>()

  /** Lets workers crash on requests with the part from now on. */
  spoil(part: string, moment: PartCrashMoment): void {
    this.repairs.delete(part)
    this.guilty_.set(part, moment)
  }

  /** Workers answer requests with the part from now on. */
  repair(part: string): void {
    if (this.guilty_.delete(part)) this.repairs.set(part, performance.now())
  }

  repairAll(): void {
    for (const part of [...this.guilty_.keys()]) this.repair(part)
  }

  /** Returns the first guilty part of a request. Undefined if it has none. */
  findGuilty(headers: IncomingHttpHeaders): GuiltyPart | undefined {
    for (const part of sharedParts(headers)) {
      const moment = this.guilty_.get(part)
      if (moment !== undefined) return {part, moment}
    }
    return undefined
  }
}

/** Returns the parts of a request's prompt but the last, which is its own. */
export function sharedParts(headers: IncomingHttpHeaders): string[] {
  const prompt = headers["x-prompt-prefix"]
  if (typeof prompt !== "string") return []
  return prompt
    .split(",")
    .slice(0, -1)
    .map(part => part.split(":", 1).join().trim())
}
