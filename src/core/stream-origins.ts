/**
 * Where streams began, which decides where they may go on: events of different software
 * versions of a service don't fit together. Kept for the streams of this box and for those
 * that other boxes reported to it.
 */

/** Service and software version that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string
  readonly software: string
}

/** An origin as boxes report it to each other. */
export interface OriginReport extends StreamOrigin {
  /** Name of the request that brought the first event. */
  readonly request: string
  /** Time left in which the stream can be resumed. */
  readonly forMs: number
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
  record({request, service, software, forMs}: OriginReport, now: number): void {
    const kept = this.kept_.get(request)
    const known = kept && kept.until > now ? kept : undefined
    const isOther =
      known?.origin.service === service && known.origin.software !== software
    const until = now + Math.min(forMs, MAX_ORIGIN_MS)
    this.kept_.delete(request)
    this.kept_.set(request, {
      origin: {service, software},
      isAmbiguous: isOther || known?.isAmbiguous === true,
      until: Math.max(until, known?.until ?? until)
    })
    this.removeOldest(now)
  }

  /** Returns the origin of the stream that the request began, if it is known. */
  find(request: string, now: number): StreamOrigin | undefined {
    const kept = this.kept_.get(request)
    return kept && kept.until > now && !kept.isAmbiguous ? kept.origin : undefined
  }

  private removeOldest(now: number): void {
    for (const [request, {until}] of this.kept_) {
      if (this.kept_.size <= MAX_ORIGINS && until > now) return
      this.kept_.delete(request)
    }
  }
}
