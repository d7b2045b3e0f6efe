/** Reads answers of other processes as text, up to a limit. */
import {AnswerTooLong} from "../errors.js"

/**
 * Longest answer that is read. Lists of the key-value service have up to 1 MB, and changes
 * of several seconds a few times as much.
 */
export const MAX_ANSWER_BYTES = 16 << 20

/**
 * Reads a whole body.
 * @throws AnswerTooLong if it is longer than the limit. Its connection is closed then.
 */
export async function readAnswerText(
  body: AsyncIterable<Buffer>,
  maxBytes = MAX_ANSWER_BYTES
): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    // Leaving the loop destroys the body, and with it the connection.
    if (bytes > maxBytes) throw new AnswerTooLong(maxBytes)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}
