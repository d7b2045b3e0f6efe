/**
 * What the boxes of a deployment went through, from their log lines: processes, leads, the key-value
 * service, configuration and backend servers. What several boxes wrote of the same thing within a
 * while is one entry that says when the first and the last of them did; boxes' clocks are taken for alike.
 */
import type {LogLine} from "./explain.js"

/** One thing that happened, at one box or at several. */
export interface TimelineEntry {
  /** First and last line of it, seconds after the first line of all. */
  readonly fromS: number
  readonly toS: number
  /** Number in the catalogue. */
  readonly event: number
  /** What it is about, from the line: a backend server, a leader, a version, a reason; may be empty. */
  readonly subject: string
  /** Boxes that wrote of it, in the order in which they did. */
  readonly boxes: readonly string[]
}

/** Lines of one thing lie no further apart than this, milliseconds: the longest that news may take. */
const TOGETHER_MS = 2_000

/** The events that a timeline holds, with the field that says what each is about. */
const SUBJECTS: ReadonlyMap<number, string> = new Map([
  [100, ""],
  [101, ""],
  [102, ""],
  [103, "reason"],
  [104, "gapMs"],
  [110, "reason"],
  [111, ""],
  [160, "version"],
  [181, ""],
  [182, "leader"],
  [183, "leader"],
  [184, "fence"],
  [185, "reason"],
  [188, ""],
  [189, ""],
  [195, "backend"],
  [203, "engine"],
  [204, "backend"],
  [205, "backend"],
  [206, ""],
  [207, ""],
  [208, "backend"],
  [209, "key"],
  [210, "engine"],
  [211, "versions"],
  [215, "era"],
  [217, "oddity"],
  [218, "prefix"],
  [219, "fence"],
  [220, "era"],
  [228, "backend"],
  [229, "backend"],
  [234, "backend"],
  [235, "backend"]
])

interface OpenEntry {
  readonly event: number
  readonly subject: string
  readonly from: number
  to: number
  readonly boxes: string[]
}

/** The entries in the order of their first lines. */
export function tellTimeline(lines: readonly LogLine[]): TimelineEntry[] {
  const told = lines
    .filter(({event}) => SUBJECTS.has(event))
    .sort((a, b) => a.time - b.time)
  const entries: OpenEntry[] = []
  const newest = new Map<string, OpenEntry>()
  for (const {event, time, box, ...fields} of told) {
    const subject = String(fields[SUBJECTS.get(event) ?? ""] ?? "")
    const key = `${event} ${subject}`
    const open = newest.get(key)
    if (open && time - open.to <= TOGETHER_MS) {
      open.to = time
      if (!open.boxes.includes(box)) open.boxes.push(box)
      continue
    }
    const entry = {event, subject, from: time, to: time, boxes: [box]}
    newest.set(key, entry)
    entries.push(entry)
  }
  const begin = firstTime(lines)
  const toS = (time: number): number => Number(((time - begin) / 1000).toFixed(3))
  return entries.map(({event, subject, from, to, boxes}) => ({
    fromS: toS(from),
    toS: toS(to),
    event,
    subject,
    boxes
  }))
}

/** Not by spreading all times into `Math.min`: there may be millions of lines. */
function firstTime(lines: readonly LogLine[]): number {
  let first = Infinity
  for (const {time} of lines) first = Math.min(first, time)
  return first
}
