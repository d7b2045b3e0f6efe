/** Waits for conditions. The time limit only ends a test that would hang otherwise. */

const DEFAULT_LIMIT_MS = 30_000
const POLL_MS = 20

/** Polls until `probe` returns a value other than false and undefined, and returns it. */
export async function until<T>(
  what: string,
  probe: () => T | Promise<T>,
  limitMs = DEFAULT_LIMIT_MS
): Promise<Exclude<T, false | undefined>> {
  const end = Date.now() + limitMs
  for (;;) {
    const value = await probe()
    if (value !== false && value !== undefined)
      return value as Exclude<T, false | undefined>
    if (Date.now() > end)
      throw new Error(`time-out after ${limitMs} ms while waiting: ${what}`)
    await new Promise(done => setTimeout(done, POLL_MS))
  }
}
