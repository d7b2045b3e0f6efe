/** Rendezvous (highest random weight) hashing: all nodes get the same ranking. */
import {createHash} from "node:crypto"

/** Returns the 48-bit weight of `member` for `key`. */
export function weighMember(key: string, member: string): number {
  const digest = createHash("sha1").update(key).update("\0").update(member).digest()
  return digest.readUIntBE(0, 6)
}

/** Sorts `members` by weight for `key`, highest first, then by name. */
export function rankMembers(key: string, members: readonly string[]): string[] {
  const weighed = members.map(member => ({member, weight: weighMember(key, member)}))
  weighed.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
  return weighed.map(({member}) => member)
}
