/** The rates that stand-in workers name in their answers, from when until when, and who was told. */

/** A worker's answer to a request named its rate. */
export interface Told {
  /** The request. */
  readonly id: string
  readonly at: number
}

/** A stretch in which all answers of a worker name a rate. */
export interface NamedRate {
  readonly worker: string
  /** Requests a second, from all boxes together. */
  readonly perSecond: number
  readonly from: number
  /** Infinity: it names it still. */
  to: number
  readonly told: Told[]
}

export class NamedRates {
  readonly all: NamedRate[] = []

  /** From now on the worker names this; undefined, or what is no rate: none. */
  set(worker: string, rate: string | readonly string[] | undefined): void {
    const now = performance.now()
    const current = this.current(worker)
    const perSecond = readRate(rate)
    if (current?.perSecond === perSecond) return
    if (current) current.to = now
    if (perSecond === undefined) return
    this.all.push({worker, perSecond, from: now, to: Infinity, told: []})
  }

  /** Its answer to the request goes out now. */
  told(worker: string, id: string): void {
    this.current(worker)?.told.push({id, at: performance.now()})
  }

  private current(worker: string): NamedRate | undefined {
    return this.all.find(rate => rate.worker === worker && rate.to === Infinity)
  }
}

/** The least of several, as HTTP joins headers of one name. */
function readRate(rate: string | readonly string[] | undefined): number | undefined {
  const texts = typeof rate === "string" ? rate.split(",") : (rate ?? [])
  const rates = texts.map(text => text.trim())
  const readable = rates.length > 0 && rates.every(text => /^\d{1,9}(\.\d+)?$/.test(text))
  return readable ? Math.min(...rates.map(Number)) : undefined
}
