/** Polls the platform's list of boxes over HTTP. */
import {request} from "undici"
import type {BoxList} from "../ports/ports.js"
import {readAnswerText} from "./answer-text.js"
import type {Log} from "./log.js"

const TIMEOUT_MS = 2_000

/** Returns the box list that is served at a base URL. */
export function connectBoxList(baseUrl: string): BoxList {
  return {
    async leaving() {
      const answer = await request(`${baseUrl}/v1/boxes`, {
        signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const body = JSON.parse(await readAnswerText(answer.body)) as {leaving?: unknown}
      if (answer.statusCode !== 200 || !Array.isArray(body.leaving)) {
        throw new Error(`box list answered ${answer.statusCode}`)
      }
      return new Set(body.leaving.map(String))
    }
  }
}

/**
 * Polls the list and calls `show` whenever it has changed. The last list stays in force
 * while it cannot be read. Returns a function that stops the polling.
 */
export function pollBoxList(
  list: BoxList,
  intervalMs: number,
  log: Log,
  show: (leaving: ReadonlySet<string>) => void
): () => void {
  let last = ""
  let failing = false
  const poll = async (): Promise<void> => {
    try {
      const leaving = await list.leaving()
      failing = false
      const text = [...leaving].sort().join("\n")
      if (text !== last) show(leaving)
      last = text
    } catch (cause) {
      if (!failing) log("box-list-trouble", {reason: (cause as Error).message})
      failing = true
    }
  }
  void poll()
  const timer = setInterval(() => void poll(), intervalMs)
  return () => clearInterval(timer)
}
