/** Reads the log lines of boxes from files. Skips all other lines. */
import {readdirSync, readFileSync, statSync} from "node:fs"
import {join} from "node:path"
import type {LogLine} from "../core/explain.js"

/**
 * Returns the lines of a file, of all files of a folder, or of standard input for `-`.
 */
export function readLogs(path: string): LogLine[] {
  if (path === "-") return readLines(readFileSync(0, "utf8"))
  if (!statSync(path).isDirectory()) return readLines(readFileSync(path, "utf8"))
  return readdirSync(path)
    .sort()
    .flatMap(name => readLines(readFileSync(join(path, name), "utf8")))
}

function readLines(text: string): LogLine[] {
  return text.split("\n").flatMap(line => {
    // Log collectors add a prefix to lines.
    const start = line.indexOf("{")
    if (start < 0) return []
    try {
      const value = JSON.parse(line.slice(start)) as LogLine
      return typeof value.event === "number" && typeof value.box === "string"
        ? [value]
        : []
    } catch {
      return []
    }
  })
}
