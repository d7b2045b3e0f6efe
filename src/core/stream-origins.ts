/**
 * Where streams began, which decides where they may go on: events of different software
 * versions of a service don't fit together. Kept for the streams of this box and for those
 * that other boxes reported to it.
 */

import {shortHash} from "../utils/hash.js"

/** Service and software version that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string
  readonly software: string
}

/** An origin as boxes report it to each other. */
export interface OriginReport extends StreamOrigin {
  /** Key of the stream, see `toStreamKey`. */
  readonly stream: string
  /** Time left in which the stream can be resumed. */
  readonly forMs: number
}

/**
 * Returns the key of the stream that a request began: a digest, as names may be long. Names
 * are unique only among the requests of one caller's key.
 */
export function toStreamKey(request: string, callerKey: string | undefined): string {
  return shortHash(`${callerKey ?? ""} ${request}`)
}

/** Limits the origins kept; the oldest are removed. */
const MAX_ORIGINS = 20_000

/** Longest time for which an origin is kept. */
export const MAX_ORIGIN_MS = 60_000

interface KeptOrigin {
  readonly origin: StreamOrigin
  /** Whether streams of several versions were reported under this name. */
  readonly isAmbiguous: boolean
  readonly until: number
}

export class StreamOrigins {
  private readonly kept_ = new Map<string, KeptOrigin>()

  get size(): number {
    return this.kept_.size
  }

  /**
   * Keeps an origin. A stream that went on at another service begins there anew. Different
   * versions of one service show that two streams have the same name.
   */
  record({stream, service, software, forMs}: OriginReport, now: number): void {
    const kept = this.kept_.get(stream)
    const known = kept && kept.until > now ? kept : undefined
    const isOther =
      known?.origin.service === service && known.origin.software !== software
    const until = now + Math.min(forMs, MAX_ORIGIN_MS)
    this.kept_.delete(stream)
    this.kept_.set(stream, {
      origin: {service, software},
      isAmbiguous: isOther || known?.isAmbiguous === true,
      until: Math.max(until, known?.until ?? until)
    })
    this.removeOldest(now)
  }

  /** Returns the origin of a stream, if it is known. */
  find(stream: string, now: number): StreamOrigin | undefined {
    const kept = this.kept_.get(stream)
    return kept && kept.until > now && !kept.isAmbiguous ? kept.origin : undefined
  }

  private removeOldest(now: number): void {
    for (const [stream, {until}] of this.kept_) {
      if (this.kept_.size <= MAX_ORIGINS && until > now) return
      this.kept_.delete(stream)
    }
  }
}
