/** Checks whether a process listens at a backend server's address. */
import {connect} from "node:net"
import {splitAddress} from "../utils/address.js"
import {startAnswerTimer} from "../utils/timers.js"

const TIMEOUT_MS = 400

/**
 * Whether a connection is accepted. Undefined if it is neither accepted nor refused in
 * time.
 */
export function probeServer(address: string): Promise<boolean | undefined> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const finish = (accepted: boolean | undefined): void => {
      timer.clear()
      socket.destroy()
      resolve(accepted)
    }
    const timer = startAnswerTimer(TIMEOUT_MS, () => finish(undefined))
    socket.once("connect", () => finish(true))
    socket.on("error", (cause: NodeJS.ErrnoException) =>
      finish(cause.code === "ECONNREFUSED" ? false : undefined)
    )
  })
}
