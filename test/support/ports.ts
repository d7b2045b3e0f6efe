/**
 * Reserves free ports outside the system's ephemeral range, so that no outgoing
 * connection uses one. Ports are reserved in blocks: a process holds a block while it
 * listens on its first port. This prevents another process from using a port between its
 * reservation and the first listen.
 */
import {createServer} from "node:net"

const FIRST_PORT = 12_000
const BLOCK_SIZE = 100
const BLOCKS = 190
/** Processes with consecutive ids start their search for a block far apart. */
const STRIDE = 37

let block = (process.pid * STRIDE) % BLOCKS
/**
 * Number of ports used in the block, with the first. `BLOCK_SIZE` means that no block is
 * held.
 */
let used = BLOCK_SIZE
let claiming: Promise<void> | undefined

/** Returns a port on which no process listens and that no other process receives. */
export async function freePort(): Promise<number> {
  for (;;) {
    while (used === BLOCK_SIZE) {
      claiming ??= claimBlock().finally(() => (claiming = undefined))
      await claiming
    }
    const port = FIRST_PORT + block * BLOCK_SIZE + used++
    if (await canListen(port)) return port
  }
}

async function claimBlock(): Promise<void> {
  for (let attempts = 0; attempts < BLOCKS; attempts++) {
    block = (block + 1) % BLOCKS
    if (await holdPort(FIRST_PORT + block * BLOCK_SIZE)) {
      used = 1
      return
    }
  }
  throw new Error(`all ${BLOCKS} blocks of ports are in use`)
}

/** Listens on a port until the process ends. Returns false if the port is in use. */
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
