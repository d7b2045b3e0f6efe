/** Report of `npm run bench -- starts`, by seconds and from the boxes' logs. */
import {readFileSync} from "node:fs"
import type {ProcessStore, StoreStatistics} from "../test/stand-ins/process-store.js"
import type {PlatformBed} from "../test/support/platform-bed.js"
import type {Second} from "./starts-callers.js"

/** Part of the calls from which service counts as back. */
const BACK_SHARE = 0.25

/** Log events that the report lists or counts. */
const EVENT = {
  started: 100,
  linked: 182,
  leading: 184,
  leadOver: 185,
  refused: 192,
  notRouted: 197,
  storeCalls: 214,
  takenOver: 278,
  unreached: 279
}
const LISTED: readonly number[] = [EVENT.leading, EVENT.leadOver, EVENT.takenOver]

const TICKS_PER_S = 100

export interface Sample {
  readonly statistics: StoreStatistics
  /** Processor time of all boxes, seconds. */
  readonly boxesS: number
}

export type StartsBed = PlatformBed<ProcessStore>

export function takeSample(bed: StartsBed): Sample {
  const boxesS = bed.boxes.reduce((sum, {child}) => sum + processorS(child.pid), 0)
  return {statistics: bed.store.statistics, boxesS}
}

/** Returns the processor time that a process has used, in seconds. 0 if it has ended. */
function processorS(pid: number): number {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ")
    return (Number(fields?.[11]) + Number(fields?.[12])) / TICKS_PER_S
  } catch {
    return 0
  }
}

export function printSeconds(
  seconds: readonly Second[],
  samples: readonly Sample[]
): void {
  seconds.forEach((second, index) => {
    const calls = `${String(index).padStart(3)} ${formatShare(second).padEnd(8)}`
    const outcomes = `${calls} ${JSON.stringify(second.outcomes)}`
    const [before, after] = [samples[index], samples[index + 1]]
    if (!before || !after) return console.log(outcomes)
    const {statistics} = after
    console.log(
      outcomes +
        ` boxes ${(after.boxesS - before.boxesS).toFixed(1)} s` +
        ` (${after.boxesS.toFixed(0)} in all),` +
        ` store ${(statistics.processorS - before.statistics.processorS).toFixed(2)} s,` +
        ` late ${statistics.delayMs} ms,` +
        ` connections ${statistics.connections - before.statistics.connections},` +
        ` calls ${formatCalls(before.statistics, statistics)}`
    )
  })
  const isBack = ({sent, served}: Second): boolean => served >= BACK_SHARE * sent
  const isServed = seconds.map(isBack)
  const [first, below] = [isServed.indexOf(true), isServed.lastIndexOf(false)]
  console.log(`a quarter served from second ${first}; in each from ${below + 1} on`)
}

export function formatShare({sent, served}: Second): string {
  return `${served}/${sent}`
}

function formatCalls(before: StoreStatistics, after: StoreStatistics): string {
  return Object.entries(after.ended)
    .map(([kind, count]) => ({kind, more: count - (before.ended[kind] ?? 0)}))
    .filter(({more}) => more > 0)
    .map(({kind, more}) => `${kind} ${more}`)
    .join(", ")
}

/** Prints what the boxes logged since `from`. */
export function printLogs(bed: StartsBed, from: number): void {
  const lines = bed.boxes
    .flatMap(({child}) => child.output.split("\n"))
    .map(parseLine)
    .filter(line => line !== undefined)
    .filter(({time}) => time >= from)
    .sort((a, b) => a.time - b.time)
  for (const line of lines) {
    const {time, event, box, msg, reason, overdueMs, gapMs} = line
    if (!LISTED.includes(event)) continue
    const {organisation, counted, limit, awaited} = line
    const fields = {reason, overdueMs, gapMs, organisation, counted, limit, awaited}
    const at = ((time - from) / 1000).toFixed(2)
    console.log(`${at} s ${box} ${event} ${msg.split(".")[0]} ${JSON.stringify(fields)}`)
  }
  printCounts(lines, from)
  printRefusals(lines, from)
  printFirstCalls(lines)
}

/** Prints by second how many boxes started and reached a leader, and how often in vain. */
function printCounts(lines: readonly LogLine[], from: number): void {
  const names = new Map([
    [EVENT.started, "started"],
    [EVENT.linked, "linked"],
    [EVENT.unreached, "links given up"]
  ])
  const kinds = lines.flatMap(({time, event}) => {
    const kind = names.get(event)
    return kind === undefined ? [] : [{time, kind}]
  })
  printBySecond("boxes", kinds, from)
}

function printRefusals(lines: readonly LogLine[], from: number): void {
  const kinds = lines
    .filter(({event}) => event === EVENT.refused || event === EVENT.notRouted)
    .map(({time, reason, waitedFor = "", limit = "", hasLeader}) => {
      const leader = hasLeader === false ? "no leader" : ""
      const parts = [reason, waitedFor, limit, leader].filter(part => part !== "")
      return {time, kind: parts.join(" ")}
    })
  printBySecond("refused", kinds, from)
}

function printBySecond(
  title: string,
  kinds: readonly {readonly time: number; readonly kind: string}[],
  from: number
): void {
  const seconds: Record<string, number>[] = []
  for (const {time, kind} of kinds) {
    const counts = (seconds[Math.floor((time - from) / 1000)] ??= {})
    counts[kind] = (counts[kind] ?? 0) + 1
  }
  seconds.forEach((counts, second) =>
    console.log(`${title} in second ${second}: ${JSON.stringify(counts)}`)
  )
}

function printFirstCalls(lines: readonly LogLine[]): void {
  const first: Record<string, number> = {}
  const counted = new Set<string>()
  for (const {event, box, calls, connections, lateCalls, starvedCalls} of lines) {
    if (event !== EVENT.storeCalls || counted.has(box)) continue
    counted.add(box)
    const counts = {...(calls as object), connections, lateCalls, starvedCalls}
    for (const [kind, count = 0] of Object.entries(counts) as [string, number?][])
      first[kind] = (first[kind] ?? 0) + count
  }
  console.log(`boxes' calls in their first 5 s: ${JSON.stringify(first)}`)
}

interface LogLine extends Readonly<Record<string, unknown>> {
  readonly time: number
  readonly event: number
  readonly box: string
  readonly msg: string
}

function parseLine(text: string): LogLine | undefined {
  try {
    return JSON.parse(text) as LogLine
  } catch {
    return undefined
  }
}
