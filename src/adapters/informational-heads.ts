/** Limits the informational heads before the answers that `node:http` receives. */
import type {ClientRequest} from "node:http"
import {AnswerOverheadTooLong} from "../errors.js"

/** Informational heads after which a connection is closed. Boxes send none. */
const MAX_INFORMATIONAL = 16

/**
 * Makes a request fail with `AnswerOverheadTooLong` if informational heads go on. The parser
 * of Node.js limits all other parts of an answer that are no content.
 */
export function limitInformational(call: ClientRequest): void {
  let count = 0
  call.on("information", () => {
    // Node.js reports the rest of what it has read after the connection is closed.
    if (++count !== MAX_INFORMATIONAL + 1) return
    call.destroy(new AnswerOverheadTooLong(`${MAX_INFORMATIONAL} informational heads`))
  })
}
