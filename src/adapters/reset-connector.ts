/**
 * Connects to servers so that a reset is reported as a broken answer. An answer without a
 * length ends when its connection ends, and `undici` treats a reset as this end. The
 * sockets also allow their answers to be paused, and limit what is no content of them.
 */
import type {Socket} from "node:net"
import {buildConnector} from "undici"
import {limitOverhead} from "./answer-overhead.js"
import {allowHolding} from "./read-control.js"

/**
 * A code that `undici` does not handle. It treats `ECONNRESET` as the end of an answer.
 */
const RESET_CODE = "RESET_BY_PEER"

/** Returns a connector for `undici`. */
export function buildResetConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs})
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result
      if (socket) {
        reportResets(socket)
        limitOverhead(socket)
        allowHolding(socket)
      }
      callback(...result)
    })
  }
}

function reportResets(socket: Socket): void {
  socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
    if (cause.code === "ECONNRESET") cause.code = RESET_CODE
  })
  const emit = socket.emit.bind(socket)
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== "end" || !wasReset(socket)) return emit(event, ...args)
    const cause = new Error("connection reset by the server")
    socket.destroy(Object.assign(cause, {code: RESET_CODE}))
    return true
  }
}

/**
 * Whether an `end` event stands for a reset, as it does when bytes and a reset arrive
 * in the same turn of the event loop. Only a connection closed in both directions has
 * no peer address. The socket caches that address, so nothing may read it earlier.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
