/** Checks whether an entry process has ended. A missing answer is no proof of that. */
import {request} from "undici"
import {readAnswerText} from "./answer-text.js"

const TIMEOUT_MS = 1_000

/** Probes the last address of an entry for its incarnation. */
export async function probeEntry(
  address: string | undefined,
  incarnation: string
): Promise<"gone" | "alive" | "silent"> {
  if (address === undefined) return "silent"
  try {
    const answer = await request(`http://${address}/identity`, {
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    const body = JSON.parse(await readAnswerText(answer.body)) as {
      incarnation?: string
    }
    if (answer.statusCode !== 200 || body.incarnation === undefined) return "silent"
    return body.incarnation === incarnation ? "alive" : "gone"
  } catch (cause) {
    // No process listens there, so the kernel has closed all connections of the entry.
    return (cause as NodeJS.ErrnoException).code === "ECONNREFUSED" ? "gone" : "silent"
  }
}
