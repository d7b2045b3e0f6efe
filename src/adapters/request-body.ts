/** Reads bodies of callers' requests. */
import type {IncomingMessage} from "node:http"

/**
 * Reads the whole body, which is small and is sent again in a retry. Resolves to null if
 * it is empty and to "gone" if the caller disconnected.
 */
export async function readWholeBody(
  req: IncomingMessage,
  limit: number
): Promise<Buffer | null | "too-large" | "gone"> {
  const chunks: Buffer[] = []
  let size = 0
  let isTooLarge = false
  try {
    for await (const chunk of req.iterator({destroyOnReturn: false})) {
      size += (chunk as Buffer).length
      isTooLarge = size > limit
      if (isTooLarge) break
      chunks.push(chunk as Buffer)
    }
  } catch {
    return "gone"
  }
  if (isTooLarge) {
    // Drops the rest, behind which the next request of the connection may follow.
    req.resume()
    return "too-large"
  }
  return chunks.length === 0 ? null : Buffer.concat(chunks)
}
