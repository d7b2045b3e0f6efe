/** Reads boxes' log lines from files; what is no line of a box is passed over. */
import {readdirSync, readFileSync, statSync} from "node:fs"
import {join} from "node:path"
import type {LogLine} from "../core/explain.js"

/** The lines of a file, of all files of a folder, or of standard input for `-`. */
export function readLogs(place: string): LogLine[] {
  if (place === "-") return readLines(readFileSync(0, "utf8"))
  if (!statSync(place).isDirectory()) return readLines(readFileSync(place, "utf8"))
  return readdirSync(place)
    .sort()
    .flatMap(name => readLines(readFileSync(join(place, name), "utf8")))
}

function readLines(text: string): LogLine[] {
  return text.split("\n").flatMap(line => {
    // Collectors put their own words before a line.
    const begin = line.indexOf("{")
    if (begin < 0) return []
    try {
      const value = JSON.parse(line.slice(begin)) as LogLine
      return typeof value.event === "number" && typeof value.box === "string"
        ? [value]
        : []
    } catch {
      return []
    }
  })
}
