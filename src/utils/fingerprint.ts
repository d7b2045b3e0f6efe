/** Tells requests that are the same from others, whatever their names. */
import {createHash} from "node:crypto"

/** What makes two requests the same. */
export interface RequestContent {
  /** Whose request it is; empty: nobody's that is known. */
  readonly caller: string
  readonly method: string
  readonly host: string
  /** With its query. */
  readonly path: string
  readonly body: Uint8Array | null
}

/** 96 bits: a caller who makes up bodies cannot make one that is taken for another's. */
const HEX_DIGITS = 24

/** A digest that is alike for requests with the same content. */
export function fingerprintRequest(content: RequestContent): string {
  const {caller, method, host, path, body} = content
  const hash = createHash("sha256")
  hash.update(JSON.stringify([caller, method, host.toLowerCase(), path]))
  if (body) hash.update(body)
  return hash.digest("hex").slice(0, HEX_DIGITS)
}
