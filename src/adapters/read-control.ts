/**
 * Pauses the reading of an answer from a backend server. While it is paused, its
 * connection fills up, so that the server slows down. Also counts what is no content of it.
 */
import {channel} from "node:diagnostics_channel"
import type {Socket} from "node:net"
import type {Dispatcher} from "undici"
import {
  type Overhead,
  overheadOf,
  recordContent,
  startOverhead
} from "./answer-overhead.js"

export interface ReadControl {
  /** Pauses reading. To be called from the callback that receives data. */
  readonly pause: () => void
  /** Reads on. The callbacks run later, and not before this returns. */
  readonly resume: () => void
  /** Bytes that the connection has read and that were not handed on yet. */
  readonly readAheadBytes: () => number
}

/** What the one that receives the answer needs of its connection. */
export interface AnswerControl extends ReadControl {
  /** To be called at the final head and, with the data, at all data of the answer. */
  readonly countContent: (data?: Buffer) => void
}

interface Connection {
  socket: Socket | undefined
  overhead: Overhead | undefined
  /** Whether the request has an `AnswerControl`. */
  readonly isControlled: boolean
}

const UNCONTROLLED: Connection = {
  socket: undefined,
  overhead: undefined,
  isControlled: false
}

/** Connections whose answers are not read. */
const heldSockets = new WeakSet<Socket>()

/** Connection of the request that starts in the current call of `undici`. */
let starting: Connection = {...UNCONTROLLED}

// `undici` publishes the socket in the same call that starts the request.
channel("undici:client:sendHeaders").subscribe(message => {
  const {socket} = message as {readonly socket: Socket}
  const overhead = overheadOf(socket)
  if (overhead) startOverhead(overhead, starting.isControlled)
  starting.socket = socket
  starting.overhead = overhead
  // Requests of other parts of the process are published, too.
  starting = {...UNCONTROLLED}
})

/** Returns the control of a request. To be called when the request starts. */
export function createReadControl(
  controller: Dispatcher.DispatchController
): AnswerControl {
  const connection: Connection = {...UNCONTROLLED, isControlled: true}
  starting = connection
  return {
    readAheadBytes: () => connection.socket?.readableLength ?? 0,
    countContent: data => {
      if (connection.overhead) recordContent(connection.overhead, data)
    },
    pause: () => {
      if (connection.socket) heldSockets.add(connection.socket)
      controller.pause()
    },
    // Not at once: `undici` cannot parse two answers at the same time.
    resume: () =>
      queueMicrotask(() => {
        if (connection.socket) heldSockets.delete(connection.socket)
        controller.resume()
      })
  }
}

/**
 * Makes a socket return no data and no end while its answer is paused. `undici` stops
 * reading by itself, but Node.js emits the end of a connection without data to read, at
 * which `undici` fails an answer that it has paused, or throws.
 */
export function allowHolding(socket: Socket): void {
  const read = socket.read.bind(socket)
  socket.read = (size?: number): unknown =>
    heldSockets.has(socket) ? null : (read(size) as unknown)
}

/**
 * An interceptor of `undici` that counts the content of answers whose handlers do not.
 * Its connections are limited by `limitOverhead`.
 */
export function countContent(dispatch: Dispatcher["dispatch"]): Dispatcher["dispatch"] {
  return (options, handler) => {
    let control: AnswerControl | undefined
    return dispatch(options, {
      onRequestStart(controller, context) {
        control = createReadControl(controller)
        handler.onRequestStart?.(controller, context)
      },
      onRequestUpgrade(...upgrade) {
        handler.onRequestUpgrade?.(...upgrade)
      },
      onResponseStart(controller, status, ...rest) {
        if (status >= 200) control?.countContent()
        handler.onResponseStart?.(controller, status, ...rest)
      },
      onResponseData(controller, chunk) {
        control?.countContent(chunk)
        handler.onResponseData?.(controller, chunk)
      },
      onResponseEnd(...end) {
        handler.onResponseEnd?.(...end)
      },
      onResponseError(...failure) {
        handler.onResponseError?.(...failure)
      }
    })
  }
}
