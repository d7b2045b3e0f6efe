/** Checks whether a process listens at a backend server's address. */
import {connect} from "node:net"
import {splitAddress} from "../utils/address.js"

const TIMEOUT_MS = 400

/**
 * Whether a connection is accepted. Undefined if it is neither accepted nor refused in
 * time.
 */
export function probeServer(address: string): Promise<boolean | undefined> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const finish = (accepted: boolean | undefined): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(accepted)
    }
    // After a pause of the process the result may be waiting behind this timer.
    const timer = setTimeout(() => setImmediate(finish, undefined), TIMEOUT_MS)
    socket.once("connect", () => finish(true))
    socket.on("error", (cause: NodeJS.ErrnoException) =>
      finish(cause.code === "ECONNREFUSED" ? false : undefined)
    )
  })
}
