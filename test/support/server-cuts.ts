/**
 * Cuts a box's process off from backend servers, as its own links would: loaded by the
 * program of a box, it replaces connections of this process only. The cut is read from a
 * file, which the process reads again and again.
 */
import {readFileSync} from "node:fs"
import {Socket} from "node:net"

const READ_INTERVAL_MS = 20

/** What happens to the connections of a box to the servers at these ports. */
export interface ServerCut {
  readonly ports: readonly number[]
  readonly how: CutKind
}

export type CutKind =
  /** Nothing passes on open connections; new ones are not answered. */
  | "hang"
  /** Open connections are reset, and new ones are refused. */
  | "reset"
  /** Open connections live on, and new ones are refused. */
  | "refuse-new"
  /** Open connections live on, and new ones are not answered. */
  | "hang-new"

type Connect = (this: Socket, ...args: unknown[]) => Socket
type Write = (chunk: unknown, encoding: unknown, done: (cause?: Error) => void) => void

/** Socket methods that this module replaces. */
interface PatchedSocket {
  _write: Write
  _writev: ((chunks: unknown, done: (cause?: Error) => void) => void) | null
  _handle: {readStop(): void; readStart(): void} | null
}

/** An open connection to a server, and the writes that a cut holds back. */
interface Connection {
  readonly port: number
  isHeld: boolean
  readonly heldWrites: (() => void)[]
}

const connections = new Map<Socket, Connection>()
const file = process.env["CUTS_FILE"]
let cut: ServerCut = {ports: [], how: "hang"}

/** Replaces the connections of this process. Does nothing without a `CUTS_FILE`. */
export function installServerCuts(): void {
  if (file === undefined) return
  let known = readFileSync(file, "utf8")
  cut = parseCut(known)
  // A signal would end a process that has not started to listen for it.
  const timer = setInterval(() => {
    const text = readFileSync(file, "utf8")
    if (text === known) return
    known = text
    applyCut(parseCut(text))
  }, READ_INTERVAL_MS)
  timer.unref()
  const connect = Socket.prototype.connect as unknown as Connect
  const replacement: Connect = function (this: Socket, ...args) {
    const port = portOf(args)
    if (port === undefined) return connect.apply(this, args)
    if (!cut.ports.includes(port)) {
      track(this, port)
      return connect.apply(this, args)
    }
    if (cut.how === "reset" || cut.how === "refuse-new") refuse(this)
    return this
  }
  Socket.prototype.connect = replacement as unknown as typeof Socket.prototype.connect
}

function parseCut(text: string): ServerCut {
  return text === "" ? {ports: [], how: "hang"} : (JSON.parse(text) as ServerCut)
}

function portOf(args: readonly unknown[]): number | undefined {
  // `net.connect` passes its normalized arguments as one array.
  const [first] = args
  const options: unknown = Array.isArray(first) ? first[0] : first
  if (typeof options !== "object" || options === null) return undefined
  const {port} = options as {port?: unknown}
  return port === undefined ? undefined : Number(port)
}

function refuse(socket: Socket): void {
  const cause = Object.assign(new Error("connect ECONNREFUSED"), {code: "ECONNREFUSED"})
  setImmediate(() => socket.destroy(cause))
}

function track(socket: Socket, port: number): void {
  const connection: Connection = {port, isHeld: false, heldWrites: []}
  connections.set(socket, connection)
  socket.on("close", () => connections.delete(socket))
  const patched = socket as unknown as PatchedSocket
  const write = patched._write.bind(socket)
  patched._writev = null
  patched._write = (chunk, encoding, done) => {
    const send = (): void => write(chunk, encoding, done)
    if (connection.isHeld) connection.heldWrites.push(send)
    else send()
  }
}

function applyCut(next: ServerCut): void {
  cut = next
  for (const [socket, connection] of connections) {
    const isCut = next.ports.includes(connection.port)
    if (isCut && next.how === "reset") reset(socket)
    else hold(socket, connection, isCut && next.how === "hang")
  }
}

function reset(socket: Socket): void {
  const cause = Object.assign(new Error("read ECONNRESET"), {code: "ECONNRESET"})
  socket.destroy(cause)
}

function hold(socket: Socket, connection: Connection, isHeld: boolean): void {
  if (connection.isHeld === isHeld) return
  connection.isHeld = isHeld
  const handle = (socket as unknown as PatchedSocket)._handle
  if (isHeld) return handle?.readStop()
  handle?.readStart()
  for (const send of connection.heldWrites.splice(0)) if (!socket.destroyed) send()
}
