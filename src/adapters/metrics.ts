/** Histograms, counters and gauges with labels, in the Prometheus text format. */
import {build, type Histogram} from "hdr-histogram-js"

type Labels = Readonly<Record<string, string>>

const QUANTILES = [0.5, 0.95, 0.99]
/** The largest value that histograms distinguish (one hour). */
const HIGHEST_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2

interface Series<T> {
  readonly name: string
  readonly labels: Labels
  readonly value: T
}

export class Metrics {
  private readonly histograms_ = new Map<string, Series<Histogram>>()
  private readonly counters_ = new Map<string, Series<{count: number}>>()
  private readonly gauges_: Series<() => number>[] = []

  /** Records a value (milliseconds, tokens or percent), rounded to a whole number. */
  observe(name: string, labels: Labels, value: number): void {
    this.histogram(name, labels).recordValue(Math.max(0, Math.round(value)))
  }

  /** Returns a histogram, for code that records often. */
  histogram(name: string, labels: Labels): Histogram {
    const id = seriesId(name, labels)
    const existing = this.histograms_.get(id)
    if (existing) return existing.value
    const value = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      bitBucketSize: 32,
      autoResize: true
    })
    this.histograms_.set(id, {name, labels, value})
    return value
  }

  count(name: string, labels: Labels = {}, by = 1): void {
    const id = seriesId(name, labels)
    const series = this.counters_.get(id)
    if (series) series.value.count += by
    else this.counters_.set(id, {name, labels, value: {count: by}})
  }

  gauge(name: string, labels: Labels, read: () => number): void {
    this.gauges_.push({name, labels, value: read})
  }

  /** Renders all series in the Prometheus text format. */
  render(): string {
    const lines: string[] = []
    for (const {name, labels, value} of this.histograms_.values()) {
      for (const quantile of QUANTILES) {
        const quantileLabels = {...labels, quantile: String(quantile)}
        lines.push(
          `${seriesId(name, quantileLabels)} ${value.getValueAtPercentile(quantile * 100)}`
        )
      }
      lines.push(
        `${seriesId(`${name}_sum`, labels)} ${value.mean * value.totalCount || 0}`
      )
      lines.push(`${seriesId(`${name}_count`, labels)} ${value.totalCount}`)
    }
    for (const {name, labels, value} of this.counters_.values()) {
      lines.push(`${seriesId(name, labels)} ${value.count}`)
    }
    for (const {name, labels, value} of this.gauges_) {
      lines.push(`${seriesId(name, labels)} ${value()}`)
    }
    return `${lines.sort().join("\n")}\n`
  }
}

function seriesId(name: string, labels: Labels): string {
  const parts = Object.entries(labels).map(([key, value]) => `${key}="${escape(value)}"`)
  return parts.length === 0 ? name : `${name}{${parts.join(",")}}`
}

function escape(text: string): string {
  return text.replace(/\\/g, "\\\\").replace(/"/g, '\\"').replace(/\n/g, "\\n")
}
