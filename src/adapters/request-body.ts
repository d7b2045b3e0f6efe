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
  try {
    for await (const chunk of req) {
      size += (chunk as Buffer).length
      if (size > limit) return "too-large"
      chunks.push(chunk as Buffer)
    }
  } catch {
    return "gone"
  }
  return chunks.length === 0 ? null : Buffer.concat(chunks)
}
