/**
 * Measures the cost of keeping every box up to date about every slot, by the number of
 * boxes: the real core and codec of a leader and its boxes in simulated time, over links
 * with rate, delay, loss and an outage. Also computes the bytes of alternative protocols
 * from the same run.
 */
import {measureHeapBytes} from "./measure.js"
import {PlacesRun, type Size} from "./places-run.js"

const SIZES: readonly Size[] = [
  {boxes: 9, engines: 9, adapters: 500, requestsPerS: 150, lengthMs: 10_000},
  {boxes: 75, engines: 63, adapters: 10_000, requestsPerS: 400, lengthMs: 10_000},
  {boxes: 150, engines: 500, adapters: 12_000, requestsPerS: 1_500, lengthMs: 5_000},
  {boxes: 300, engines: 4_000, adapters: 15_000, requestsPerS: 6_000, lengthMs: 4_000},
  {boxes: 550, engines: 7_400, adapters: 23_000, requestsPerS: 11_000, lengthMs: 3_000}
]

/** Boxes to which each box would forward updates in a distribution tree. */
const TREE_WIDTH = 8

/** Prints a JSON line for the size with the given number of boxes, or for all sizes. */
export function benchPlaces(): void {
  const only = Number(process.argv[3] ?? 0)
  for (const size of SIZES) {
    if (only === 0 || size.boxes === only) console.log(JSON.stringify(measure(size)))
  }
}

function measure(size: Size): Record<string, number> {
  const heapBefore = measureHeapBytes()
  const run = new PlacesRun(size)
  const heapWithLeader = measureHeapBytes()
  run.sendSnapshot()
  const boxHeapMb = (measureHeapBytes() - heapWithLeader) / 1e6
  const leaderHeapMb = (heapWithLeader - heapBefore) / 1e6
  const counted = run.run()
  const {boxes, engines, requestsPerS} = size
  const {countedMs} = counted
  if (countedMs <= 0) return {boxes, engines, requestsPerS, countedMs}
  const perS = (count: number, digits = 0): number =>
    Number((count / (countedMs / 1_000)).toFixed(digits))
  const {boxBytes} = counted
  return {
    boxes,
    engines,
    requestsPerS,
    countedMs,
    needsPerS: perS(counted.weightsRequests),
    loadsPerS: perS(counted.loads),
    leaderMessagesPerS: perS(counted.leaderMessages),
    leaderKbPerS: perS(counted.leaderBytes / 1e3),
    boxKbPerS: perS(boxBytes / 1e3, 1),
    heardMessagesPerS: perS(counted.receivedMessages),
    heardKbPerS: perS(counted.receivedBytes / 1e3),
    leaderCoreMsPerS: perS(counted.coreMs),
    leaderPackMsPerS: perS(counted.packMs, 1),
    boxApplyMsPerS: perS(counted.applyMs, 1),
    ageP50Ms: counted.ageP50Ms,
    ageP99Ms: counted.ageP99Ms,
    pictureKb: Math.round(counted.snapshotBytes / 1e3),
    boxHeapMb: Number(boxHeapMb.toFixed(1)),
    leaderHeapMb: Number(leaderHeapMb.toFixed(1)),
    picturesBoxKbPerS: perS(counted.changedSnapshotsBytes / 1e3, 1),
    treeNodeKbPerS: perS(((1 + TREE_WIDTH) * boxBytes) / 1e3, 1),
    askingLeaderKbPerS: perS(counted.queryBytes / 1e3)
  }
}
