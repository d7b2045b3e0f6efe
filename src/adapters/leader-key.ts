/** The value of the leader's key in the key-value service. */
import * as z from "zod"
import type {LeaderRecord} from "../types/box-messages.js"
import {isHostAddress} from "../utils/address.js"

const leaderRecord = z.object({
  box: z.string(),
  incarnation: z.string(),
  address: z.string().refine(isHostAddress),
  era: z.number().optional(),
  lease: z.string().optional()
})

/** Returns undefined if the text is no record of a leader. */
export function parseLeaderRecord(text: string): LeaderRecord | undefined {
  try {
    const {success, data} = leaderRecord.safeParse(JSON.parse(text))
    return success ? data : undefined
  } catch {
    return undefined
  }
}
