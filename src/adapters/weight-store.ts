/** A client of the platform's weight store, used only to check that weights exist. */
import {request} from "undici"
import type {WeightStore} from "../ports/ports.js"

const TIMEOUT_MS = 2_000

export function connectWeightStore(baseUrl: string): WeightStore {
  return {
    /** Returns true if the answer is unclear. The load then detects missing weights. */
    async exists(weights) {
      try {
        const answer = await request(
          `${baseUrl}/weights/${encodeURIComponent(weights)}`,
          {
            method: "HEAD",
            signal: AbortSignal.timeout(TIMEOUT_MS)
          }
        )
        await answer.body.dump()
        return answer.statusCode !== 404
      } catch {
        return true
      }
    }
  }
}
