/** Counts the open TCP sockets of the process: of callers, servers, boxes and the store. */
import {subscribe, unsubscribe} from "node:diagnostics_channel"
import type {Socket} from "node:net"

/** Channels of Node.js that publish each socket, at its connection or acceptance. */
const CHANNELS = ["net.client.socket", "net.server.socket"] as const

export class SocketCounter {
  private open_ = 0

  /** Sockets that were opened since `start` and are still open. */
  get open(): number {
    return this.open_
  }

  start(): void {
    for (const name of CHANNELS) subscribe(name, this.count)
  }

  stop(): void {
    for (const name of CHANNELS) unsubscribe(name, this.count)
  }

  private readonly count = (message: unknown): void => {
    const {socket} = message as {readonly socket: Socket}
    this.open_++
    socket.once("close", () => this.open_--)
  }
}
