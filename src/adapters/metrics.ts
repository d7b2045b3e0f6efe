/** Measures: a histogram for each organisation and class, and counters, as Prometheus text. */
import {build, type Histogram} from "hdr-histogram-js"

type Labels = Readonly<Record<string, string>>

const QUANTILES = [0.5, 0.95, 0.99]
/** The largest value told apart, milliseconds: an hour. */
const HIGHEST_MS = 3_600_000
const DIGITS = 2

interface Series<T> {
  readonly name: string
  readonly labels: Labels
  readonly value: T
}

export class Metrics {
  private readonly histograms_ = new Map<string, Series<Histogram>>()
  private readonly counters_ = new Map<string, Series<{count: number}>>()
  private readonly gauges_: Series<() => number>[] = []

  /** Records a value; values are whole numbers, so milliseconds and tokens are as they come. */
  observe(name: string, labels: Labels, value: number): void {
    this.histogram(name, labels).recordValue(Math.max(0, Math.round(value)))
  }

  /** The histogram itself, for paths that record often. */
  histogram(name: string, labels: Labels): Histogram {
    const id = identify(name, labels)
    const known = this.histograms_.get(id)
    if (known) return known.value
    const value = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MS,
      numberOfSignificantValueDigits: DIGITS,
      bitBucketSize: 32,
      autoResize: true
    })
    this.histograms_.set(id, {name, labels, value})
    return value
  }

  count(name: string, labels: Labels = {}, by = 1): void {
    const id = identify(name, labels)
    const series = this.counters_.get(id)
    if (series) series.value.count += by
    else this.counters_.set(id, {name, labels, value: {count: by}})
  }

  gauge(name: string, labels: Labels, read: () => number): void {
    this.gauges_.push({name, labels, value: read})
  }

  /** All series in the Prometheus text format. */
  render(): string {
    const lines: string[] = []
    for (const {name, labels, value} of this.histograms_.values()) {
      for (const quantile of QUANTILES) {
        const at = {...labels, quantile: String(quantile)}
        lines.push(`${identify(name, at)} ${value.getValueAtPercentile(quantile * 100)}`)
      }
      lines.push(
        `${identify(`${name}_sum`, labels)} ${value.mean * value.totalCount || 0}`
      )
      lines.push(`${identify(`${name}_count`, labels)} ${value.totalCount}`)
    }
    for (const {name, labels, value} of this.counters_.values()) {
      lines.push(`${identify(name, labels)} ${value.count}`)
    }
    for (const {name, labels, value} of this.gauges_) {
      lines.push(`${identify(name, labels)} ${value()}`)
    }
    return `${lines.sort().join("\n")}\n`
  }
}

function identify(name: string, labels: Labels): string {
  const parts = Object.entries(labels).map(([key, value]) => `${key}="${escape(value)}"`)
  return parts.length === 0 ? name : `${name}{${parts.join(",")}}`
}

function escape(text: string): string {
  return text.replace(/\\/g, "\\\\").replace(/"/g, '\\"').replace(/\n/g, "\\n")
}
