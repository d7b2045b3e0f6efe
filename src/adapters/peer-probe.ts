/** Asks other boxes whether they reach a backend server. */
import {get} from "node:http"
import {splitAddress} from "../utils/address.js"
import {firstSuccess} from "../utils/promises.js"
import {PROBE_HEADER} from "./carry-headers.js"
import {limitInformational} from "./informational-heads.js"
import {limitTime} from "../utils/time-limit.js"

/** Allows for the other box's own test connection and the link delays. */
const ANSWER_TIMEOUT_MS = 600

/** An answer is one of the words of `ServerState`. */
const MAX_ANSWER_CHARS = 64

/** What other boxes say of a server. */
export type ServerState =
  /** A box could connect to it. */
  | "up"
  /** No box could, and one was refused. */
  | "refused"
  | "unknown"

/** Asks the boxes at these addresses. A box that could connect decides. */
export async function askServerState(
  peers: readonly string[],
  server: string
): Promise<ServerState> {
  const answers = peers.map(address => askBox(address, server))
  const isUp = answers.map(async answer => {
    if ((await answer) !== "up") throw new Error("the box does not reach the server")
  })
  const found = await firstSuccess(isUp).then(
    () => true,
    () => false
  )
  if (found) return "up"
  return (await Promise.all(answers)).includes("refused") ? "refused" : "unknown"
}

/** Returns the answer of one box. Undefined if it gives none in time. */
function askBox(address: string, server: string): Promise<string | undefined> {
  const limit = limitTime(ANSWER_TIMEOUT_MS)
  return new Promise(resolve => {
    const call = get({
      ...splitAddress(address),
      headers: {[PROBE_HEADER]: server},
      signal: limit.signal
    })
    limitInformational(call)
    call.on("close", limit.clear)
    // No answer says nothing of the server.
    call.on("error", () => resolve(undefined))
    call.on("response", answer => {
      let text = ""
      answer.setEncoding("utf8")
      answer.on("data", (part: string) => {
        text += part
        if (text.length > MAX_ANSWER_CHARS) call.destroy()
      })
      answer.on("end", () => resolve(text))
      answer.on("close", () => resolve(undefined))
    })
  })
}
