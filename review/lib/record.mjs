/** Writes what was sent, answered and run to `record.txt` beside a script. */
import {createWriteStream} from "node:fs"
import {fileURLToPath} from "node:url"

export class Record {
  lines = []
  startedAt = performance.now()

  constructor(scriptUrl) {
    const path = fileURLToPath(new URL("record.txt", scriptUrl))
    this.file = createWriteStream(path)
  }

  /** Seconds since the start of the script. */
  get now() {
    return (performance.now() - this.startedAt) / 1000
  }

  add(what, fields = {}) {
    const line = {at: Number(this.now.toFixed(3)), what, ...fields}
    this.lines.push(line)
    const text = Object.entries(fields).map(([key, value]) => `${key}=${value}`)
    this.file.write(`${line.at.toFixed(3)} ${what} ${text.join(" ")}\n`)
  }

  close() {
    return new Promise(resolve => this.file.end(resolve))
  }
}
