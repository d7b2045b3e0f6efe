/** Measurement of call times and memory. */

/** Returns the median time of a call in microseconds, after as many warm-up calls. */
export function measureMedianUs(count: number, call: (index: number) => void): number {
  for (let index = 0; index < count; index++) call(index)
  const times: number[] = []
  for (let index = 0; index < count; index++) {
    const start = process.hrtime.bigint()
    call(index)
    times.push(Number(process.hrtime.bigint() - start) / 1000)
  }
  times.sort((a, b) => a - b)
  return times[times.length >> 1] ?? 0
}

/** Returns the used heap bytes. Collects garbage first if `--expose-gc` is set. */
export function measureHeapBytes(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
