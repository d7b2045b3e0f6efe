/** Parses server-sent events for the relay: their ends, ids and models. */

export const EVENT_END = "\n\n"
/** The line that ends a stream of completions. */
export const DONE_MARK = "data: [DONE]"
/** Returned in place of a model for the event that ends a stream. */
export const DONE = "[DONE]"

/** Returns the model of the first event of a stream. Undefined while it is incomplete. */
export function readFirstModel(text: string): string | undefined {
  const end = text.indexOf("\n\n")
  if (end < 0) return undefined
  const line = text
    .slice(0, end)
    .split("\n")
    .find(part => part.startsWith("data: "))
  if (line === DONE_MARK) return DONE
  return line === undefined ? "" : (readModel(line.slice("data: ".length)) ?? "")
}

/** Returns the last id in complete events. Undefined if they have none. */
export function readLastId(events: Buffer): string | undefined {
  return [...events.toString().matchAll(/^id: ?(.*)$/gm)].pop()?.[1]
}

/** Whether the last of these complete events is the one that ends a stream. */
export function endsWithDone(events: Buffer): boolean {
  const text = events.toString()
  const start = text.lastIndexOf(EVENT_END, text.length - EVENT_END.length - 1)
  return text
    .slice(start < 0 ? 0 : start)
    .split("\n")
    .includes(DONE_MARK)
}

/** Returns the number of complete events in a chunk. */
export function countEvents(events: Buffer): number {
  let count = 0
  for (let at = events.indexOf(EVENT_END); at >= 0; at = events.indexOf(EVENT_END, at)) {
    count++
    at += EVENT_END.length
  }
  return count
}

/** Returns the model of a JSON document. Undefined if it has none. */
export function readModel(json: string): string | undefined {
  try {
    const {model} = JSON.parse(json) as {model?: unknown}
    return typeof model === "string" ? model : undefined
  } catch {
    return undefined
  }
}
