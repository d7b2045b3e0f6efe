/**
 * Fingerprints of requests and of parts of their prompts, to recognise equal ones in
 * requests with different ids.
 */
import {createHash} from "node:crypto"
import {shortHash} from "./hash.js"

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

/** Longer identifiers of parts are hashed. */
const MAX_PART_CHARACTERS = 32

/** Returns the fingerprint of a prompt part. It never equals that of a request. */
export function fingerprintPart(id: string): string {
  const name = id.toLowerCase()
  return `part:${name.length > MAX_PART_CHARACTERS ? shortHash(name) : name}`
}

export function fingerprintRequest(content: RequestContent): string {
  const {caller, method, host, path, body} = content
  const hash = createHash("sha256")
  hash.update(JSON.stringify([caller, method, host.toLowerCase(), path]))
  if (body) hash.update(body)
  return hash.digest("hex").slice(0, HEX_DIGITS)
}
