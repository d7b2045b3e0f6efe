/** Times of calls, and memory without what is garbage. */

/** The median time of a call, microseconds, after as many calls to warm up. */
export function timeEach(count: number, call: (index: number) => void): number {
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

/** Bytes of the heap without what is garbage, where node was started with `--expose-gc`. */
export function settledHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
