/**
 * Free ports outside the system's ephemeral range, so that no outgoing connection takes one. They come
 * in blocks, and a process keeps each block of its own by listening on its first port: between being
 * handed out and being listened on, a port is free to everybody else.
 */
import {createServer} from "node:net"

const FIRST = 12_000
const BLOCK = 100
const BLOCKS = 190
/** Processes that start one after the other begin to look far from each other. */
const STRIDE = 37

let block = (process.pid * STRIDE) % BLOCKS
/** Ports of the block that were handed out, the first included; none is held at the start. */
let used = BLOCK
let claiming: Promise<void> | undefined

/** A port on which nothing listens now, and which no other process is handed. */
export async function freePort(): Promise<number> {
  for (;;) {
    while (used === BLOCK) {
      claiming ??= claimBlock().finally(() => (claiming = undefined))
      await claiming
    }
    const port = FIRST + block * BLOCK + used++
    if (await canListen(port)) return port
  }
}

async function claimBlock(): Promise<void> {
  for (let tried = 0; tried < BLOCKS; tried++) {
    block = (block + 1) % BLOCKS
    if (await holdPort(FIRST + block * BLOCK)) {
      used = 1
      return
    }
  }
  throw new Error("no block of ports is free")
}

/** Listens on a port for as long as the process lives; false: somebody does already. */
function holdPort(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once("error", () => resolve(false))
    server.listen(port, "127.0.0.1", () => resolve(true))
    server.unref()
  })
}

function canListen(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once("error", () => resolve(false))
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)))
  })
}
