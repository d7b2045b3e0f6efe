/** Small helpers for promises. */

/** Resolves after so many milliseconds; at once for none. */
export function pause(ms: number): Promise<undefined> {
  return new Promise(resolve => setTimeout(() => resolve(undefined), Math.max(0, ms)))
}

/** The first that succeeds; the first failure where none does. */
export async function firstOf<T>(attempts: readonly Promise<T>[]): Promise<T> {
  try {
    return await Promise.any(attempts)
  } catch (cause) {
    throw cause instanceof AggregateError ? cause.errors[0] : cause
  }
}

/** Asks once more where the first answer takes longer; the first success counts. */
export function askAgainAfter<T>(ms: number, ask: () => Promise<T>): Promise<T> {
  const first = ask()
  const late = async (): Promise<T> => {
    const answered = first.then(
      () => true,
      () => true
    )
    // A failure is no reason to ask again at once: whoever asked decides.
    if (await Promise.race([answered, pause(ms)])) return first
    return ask()
  }
  return firstOf([first, late()])
}
