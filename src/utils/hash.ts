/** Digests. Callers' API keys and idempotency keys are only kept in this form. */
import {createHash, timingSafeEqual} from "node:crypto"

/** Returns the SHA-256 digest in hex. */
export function sha256(text: string | Uint8Array): string {
  return createHash("sha256").update(text).digest("hex")
}

/** Returns the first 128 bits of the SHA-256 digest, which suffice to identify keys. */
export function shortHash(text: string | Uint8Array): string {
  return sha256(text).slice(0, 32)
}

/** Compares two hex digests in constant time. */
export function equalHash(a: string, b: string): boolean {
  const left = Buffer.from(a, "hex")
  const right = Buffer.from(b, "hex")
  return left.length === right.length && timingSafeEqual(left, right)
}
