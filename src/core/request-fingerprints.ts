/** Fingerprints by which a request may be found to crash backend servers. */
import type {Arrival} from "./box-state.js"

/** Returns the fingerprint of the request and those of the shared parts of its prompt. */
export function listFingerprints({fingerprint, parts = []}: Arrival): readonly string[] {
  return fingerprint === undefined ? parts : [fingerprint, ...parts]
}
