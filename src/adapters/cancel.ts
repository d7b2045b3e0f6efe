/** Cancels attempts on engines. An attempt stays pinned until the engine confirms. */
import {type Dispatcher, request} from "undici"

const TIMEOUT_MS = 2_000

/** Cancels an attempt. Resolves to whether the engine certainly does not run it. */
export async function cancelAttempt(
  dispatcher: Dispatcher,
  address: string,
  attempt: string
): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/v1/cancel`, {
      method: "POST",
      headers: {"content-type": "application/json"},
      body: JSON.stringify({request_id: attempt}),
      dispatcher,
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    await answer.body.dump()
    return answer.statusCode === 200
  } catch (cause) {
    // A refused connection means that the engine has ended, with all its attempts.
    return (cause as NodeJS.ErrnoException).code === "ECONNREFUSED"
  }
}
