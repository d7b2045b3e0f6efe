/**
 * Builds a timeline of a deployment from the log lines of its boxes: processes,
 * leaderships, the key-value service, configuration and backend servers. Lines of several
 * boxes about the same event are merged into one entry if they are close in time. Assumes
 * that the boxes' clocks agree.
 */
import type {LogLine} from "./explain.js"

/** An event that one or several boxes logged. */
export interface TimelineEntry {
  /** Time of its first and its last line, in seconds after the first line of all. */
  readonly fromS: number
  readonly toS: number
  /** Number in the catalogue. */
  readonly event: number
  /** What the event is about, for example a backend server or a version; may be empty. */
  readonly subject: string
  /** The boxes that logged it, in order of their first line. */
  readonly boxes: readonly string[]
}

/**
 * Largest gap between lines of one entry: the longest time an update takes to reach a
 * box.
 */
const MERGE_GAP_MS = 2_000

/** The event numbers of a timeline, each with the log field that holds its subject. */
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

/** Returns the entries in the order of their first lines. */
export function buildTimeline(lines: readonly LogLine[]): TimelineEntry[] {
  const relevant = lines
    .filter(({event}) => SUBJECTS.has(event))
    .sort((a, b) => a.time - b.time)
  const entries: OpenEntry[] = []
  const latest = new Map<string, OpenEntry>()
  for (const {event, time, box, ...fields} of relevant) {
    const subject = String(fields[SUBJECTS.get(event) ?? ""] ?? "")
    const key = `${event} ${subject}`
    const open = latest.get(key)
    if (open && time - open.to <= MERGE_GAP_MS) {
      open.to = time
      if (!open.boxes.includes(box)) open.boxes.push(box)
      continue
    }
    const entry = {event, subject, from: time, to: time, boxes: [box]}
    latest.set(key, entry)
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

/** Uses a loop because `Math.min(...times)` fails on millions of lines. */
function firstTime(lines: readonly LogLine[]): number {
  let first = Infinity
  for (const {time} of lines) first = Math.min(first, time)
  return first
}
