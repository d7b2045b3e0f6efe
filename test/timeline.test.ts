/** The timeline merges lines of several boxes about the same event into one entry. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import type {LogLine} from "../src/core/explain.js"
import {buildTimeline} from "../src/core/timeline.js"
import {Child} from "./support/child.js"
import {until} from "./support/wait.js"

const BEGIN = 1_700_000_000_000

function line(box: string, atMs: number, event: number, fields = {}): LogLine {
  return {box, event, time: BEGIN + atMs, ...fields}
}

const left = (box: string, atMs: number): LogLine =>
  line(box, atMs, 205, {backend: "s", source: "store"})

t.test("lines of several boxes about the same event make one entry", async t => {
  const lines = [left("b", 1_400), left("a", 1_000), left("b", 1_500), left("c", 2_900)]
  t.same(buildTimeline([line("a", 0, 190), ...lines]), [
    {fromS: 1, toS: 2.9, event: 205, subject: "s", boxes: ["a", "b", "c"]}
  ])
})

t.test("a line that is later than an update can take makes another entry", async t => {
  const entries = buildTimeline([left("a", 0), left("b", 2_001)])
  t.same(
    entries.map(({fromS, boxes}) => [fromS, ...boxes]),
    [
      [0, "a"],
      [2.001, "b"]
    ]
  )
})

t.test("different events stay separate, in the order of their first lines", async t => {
  const entries = buildTimeline([
    line("a", 500, 184, {fence: 7, waitMs: 3_200}),
    left("a", 300),
    line("b", 600, 204, {backend: "s", source: "store"}),
    line("b", 700, 205, {backend: "other", source: "store"})
  ])
  t.same(
    entries.map(({event, subject}) => [event, subject]),
    [
      [205, "s"],
      [184, "7"],
      [204, "s"],
      [205, "other"]
    ]
  )
})

t.test("restarted servers and unreadable keys are listed by name", async t => {
  const entries = buildTimeline([
    line("a", 100, 208, {backend: "s~1", before: "s~0", source: "store"}),
    line("a", 200, 209, {key: "k/x", revision: 4, reason: "/: no JSON"}),
    line("b", 300, 209, {key: "k/x", revision: 4, reason: "/: no JSON"})
  ])
  t.same(
    entries.map(({event, subject, boxes}) => [event, subject, ...boxes]),
    [
      [208, "s~1", "a"],
      [209, "k/x", "a", "b"]
    ]
  )
})

t.test("without lines there are no entries", async t => t.same(buildTimeline([]), []))

t.test("sedgectl prints the timeline", async t => {
  const file = join(mkdtempSync(join(tmpdir(), "sedge-logs-")), "boxes.log")
  const lines = [left("a", 0), left("b", 250)]
  writeFileSync(file, lines.map(each => JSON.stringify(each)).join("\n"))
  const child = new Child("src/bin/sedgectl.js", ["timeline", "--logs", file])
  await until("sedgectl ends", () => child.ended)
  t.match(child.output, /0\.000\t0\.250\tbackend-unusable\ts\ta b/)
})
