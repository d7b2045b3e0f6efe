/** Looks whether anything listens at a backend server's address. */
import {connect} from "node:net"
import {splitAddress} from "../utils/address.js"

/** A connection that is neither up nor refused after this shows nothing, milliseconds. */
const TIMEOUT_MS = 400

/** Whether a new connection comes up; false: it is refused, undefined: neither. */
export function probeServer(address: string): Promise<boolean | undefined> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const end = (up: boolean | undefined): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(up)
    }
    const timer = setTimeout(() => end(undefined), TIMEOUT_MS)
    socket.once("connect", () => end(true))
    socket.on("error", (cause: NodeJS.ErrnoException) =>
      end(cause.code === "ECONNREFUSED" ? false : undefined)
    )
  })
}
