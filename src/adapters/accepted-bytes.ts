/** How much of what was written to a connection the system has accepted. */
import type {Socket} from "node:net"

/** Returns the bytes that the system has accepted since the connection opened. */
export function acceptedBytes(socket: Socket): number {
  const {bytesWritten, writableLength} = socket
  return bytesWritten - writableLength - waitingInHandle(socket)
}

/**
 * Returns the bytes of the current write that the system has not accepted. `net` offers
 * this only through its handle, and tells from it itself whether a connection is idle. A
 * large answer is one write, whose progress shows nowhere else.
 */
function waitingInHandle(socket: Socket): number {
  const {_handle} = socket as {_handle?: {writeQueueSize?: number} | null}
  return _handle?.writeQueueSize ?? 0
}
