/** Fingerprints of requests, to recognise equal requests with different ids. */
import {createHash} from "node:crypto"

/** Requests are equal if all of this is equal. */
export interface RequestContent {
  /** Empty if the caller is unknown. */
  readonly caller: string
  readonly method: string
  readonly host: string
  /** Includes the query. */
  readonly path: string
  readonly body: Uint8Array | null
}

/** 96 bits, so that callers cannot construct a request with another's fingerprint. */
const HEX_DIGITS = 24

export function fingerprintRequest(content: RequestContent): string {
  const {caller, method, host, path, body} = content
  const hash = createHash("sha256")
  hash.update(JSON.stringify([caller, method, host.toLowerCase(), path]))
  if (body) hash.update(body)
  return hash.digest("hex").slice(0, HEX_DIGITS)
}
