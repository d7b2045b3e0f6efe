/** Measures memory, snapshot bytes and change time of configuration records. */
import {applyChanges, listRecords, restoreSnapshot} from "../src/core/configuration.js"
import type {Configuration, SnapshotRecord} from "../src/types/config.js"
import {fitLine, type Line, type Point} from "./fit.js"
import {measureHeapBytes, measureMedianUs} from "./measure.js"

function makeRecords(adapters: number, engines = 0, cells = 1): SnapshotRecord[] {
  const records: SnapshotRecord[] = []
  for (let index = 0; index < engines; index++) {
    const value = {
      kind: "model-engine" as const,
      baseModel: "base-a",
      address: `10.1.${index >> 8}.${index & 255}:8000`,
      dataCentre: "sala-a",
      slots: 8,
      maxBatch: 64,
      checksFences: true,
      cell: `cell-${1 + (index % cells)}`
    }
    records.push({kind: "backend", id: `engine-${index}`, generation: 1, value})
  }
  for (let index = 0; index < adapters; index++) {
    const adapter = `adapter-${index}`
    const value = {adapter, version: "1", weights: `s3/${adapter}/1`}
    records.push({
      kind: "adapter",
      id: adapter,
      generation: 1,
      value: {baseModel: "base-a", organisation: "cotejo"}
    })
    records.push({kind: "version", id: `${adapter}@1`, generation: 1, value})
  }
  return records
}

export function makeConfig(adapters: number, engines = 0, cells = 1): Configuration {
  const organisation = {keyHashes: [], classes: ["till" as const], maxInProgress: 100_000}
  const records: SnapshotRecord[] = [
    {kind: "organisation", id: "cotejo", generation: 1, value: organisation},
    ...makeRecords(adapters, engines, cells)
  ]
  return restoreSnapshot(records, 1)
}

export function measureConfigMemory(): Line {
  const points: Point[] = []
  for (const adapters of [2_000, 4_000, 8_000, 16_000]) {
    const before = measureHeapBytes()
    const parsed = JSON.parse(JSON.stringify(makeRecords(adapters))) as SnapshotRecord[]
    const config = restoreSnapshot(parsed, 1)
    parsed.length = 0
    points.push({size: adapters * 2, value: measureHeapBytes() - before})
    if (config.generation !== 1)
      throw new Error(`restored generation ${config.generation} in place of 1`)
  }
  return fitLine(points)
}

export function measureSnapshotBytes(): Line {
  const sizes = [2_000, 4_000, 8_000, 16_000]
  return fitLine(
    sizes.map(adapters => ({
      size: adapters * 2,
      value: JSON.stringify(listRecords(makeConfig(adapters))).length
    }))
  )
}

export function measureChangeTime(): Line {
  const sizes = [4_000, 8_000, 16_000, 24_000]
  return fitLine(
    sizes.map(adapters => {
      let config = makeConfig(adapters)
      const value = measureMedianUs(50, () => {
        const generation = config.generation + 1
        const record = {
          kind: "adapter" as const,
          id: "new",
          value: {baseModel: "b", organisation: "t"}
        }
        const change = {
          generation,
          operation: "o",
          operator: "p",
          at: 0,
          records: [record]
        }
        config = applyChanges(config, [change])
      })
      return {size: adapters * 2, value}
    })
  )
}
