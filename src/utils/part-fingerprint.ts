/** Fingerprints of parts of prompts, to recognise them in different requests. */
import {shortHash} from "./hash.js"

const PREFIX = "part:"

/** Longer identifiers of parts are hashed. */
const MAX_PART_CHARACTERS = 32

/** Returns the fingerprint of a prompt part. It never equals that of a request. */
export function fingerprintPart(id: string): string {
  const name = id.toLowerCase()
  return PREFIX + (name.length > MAX_PART_CHARACTERS ? shortHash(name) : name)
}

/** Whether the fingerprint is that of a part, and not of a whole request. */
export function isPartFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(PREFIX)
}
