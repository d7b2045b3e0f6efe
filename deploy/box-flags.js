/** The Node.js flags with which the platform starts a box. */
import {readFileSync} from "node:fs"

const ENTRY = "target/box.mjs"

/** Returns the flags in the `run` line of deploy/system.toml. */
export function boxFlags() {
  const text = readFileSync(new URL("system.toml", import.meta.url), "utf8")
  const [, command] = /^run = "(.*)"$/m.exec(text) ?? []
  const [program, ...flags] = command?.split(" ") ?? []
  if (program !== "node" || flags.pop() !== ENTRY)
    throw new Error(`deploy/system.toml: run is not "node [flags] ${ENTRY}"`)
  return flags
}
