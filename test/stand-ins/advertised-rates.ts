/** Rate limits that stand-in workers advertise in their answers. */

/** An answer of a worker that advertised its rate limit. */
export interface RateNotice {
  /** Id of the answered request. */
  readonly id: string
  readonly at: number
}

/** A period in which all answers of a worker advertise a rate limit. */
export interface AdvertisedRate {
  readonly worker: string
  /** Requests per second from all boxes together. */
  readonly perSecond: number
  readonly from: number
  /** Infinity while the worker still advertises it. */
  to: number
  readonly notices: RateNotice[]
}

export class AdvertisedRates {
  readonly all: AdvertisedRate[] = []

  /** Records what the worker advertises from now on. Invalid values mean no limit. */
  set(worker: string, rate: string | readonly string[] | undefined): void {
    const now = performance.now()
    const current = this.current(worker)
    const perSecond = parseRate(rate)
    if (current?.perSecond === perSecond) return
    if (current) current.to = now
    if (perSecond === undefined) return
    this.all.push({worker, perSecond, from: now, to: Infinity, notices: []})
  }

  /** Records that the worker's answer to the request is sent now. */
  recordNotice(worker: string, id: string): void {
    this.current(worker)?.notices.push({id, at: performance.now()})
  }

  private current(worker: string): AdvertisedRate | undefined {
    return this.all.find(rate => rate.worker === worker && rate.to === Infinity)
  }
}

/** Returns the lowest of several rates, because HTTP joins headers of the same name. */
function parseRate(rate: string | readonly string[] | undefined): number | undefined {
  const texts = typeof rate === "string" ? rate.split(",") : (rate ?? [])
  const rates = texts.map(text => text.trim())
  const isReadable =
    rates.length > 0 && rates.every(text => /^\d{1,9}(\.\d+)?$/.test(text))
  return isReadable ? Math.min(...rates.map(Number)) : undefined
}
