/** Breaks answers off so that no caller takes them for complete. */
import type {ServerResponse} from "node:http"

/**
 * Closes the connection of an answer. Callers of HTTP/1.0 get no chunks:
 * an orderly close would be the end of their answer, so their connection is reset. Other
 * connections are closed in order, as a reset may drop bytes that are on their way.
 */
export function cutAnswer(res: ServerResponse): void {
  const {socket} = res
  if (!socket || !res.headersSent || res.chunkedEncoding) return void res.destroy()
  socket.resetAndDestroy()
}
