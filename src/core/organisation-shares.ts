/** Max-min fair shares of organisations in a capacity that is short. */

/** Most organisations that are listed by name, the ones that ask for the most first. */
const MAX_LISTED = 32

/** What is refused of each organisation's demand, as parts from 0 to 1. */
export interface ShareRefusals {
  /** Organisations beyond their shares. */
  readonly listed: readonly (readonly [organisation: string, fraction: number])[]
  /** Part that is refused of the demand of organisations that are not listed. */
  readonly others: number
}

/**
 * Divides a capacity by max-min fairness with equal weights. An organisation that asks for
 * no more than an equal part gets all that it asks for; what it leaves goes to the others.
 * The shares add up to the capacity, or to the demand if that is less. Demands that are
 * negative or not finite count as 0.
 */
export function divideFairly(
  demands: ReadonlyMap<string, number>,
  capacity: number
): Map<string, number> {
  const ascending = [...demands]
    .map(([name, demand]) => [name, toAmount(demand)] as const)
    .sort(([, a], [, b]) => a - b)
  const shares = new Map<string, number>()
  let left = toAmount(capacity)
  ascending.forEach(([name, demand], i) => {
    const share = Math.min(demand, left / (ascending.length - i))
    shares.set(name, share)
    left -= share
  })
  return shares
}

/** Returns what is refused of each organisation so that the rest fits the capacity. */
export function refuseBeyondShares(
  demands: ReadonlyMap<string, number>,
  capacity: number
): ShareRefusals {
  const shares = divideFairly(demands, capacity)
  const beyond = [...demands]
    .map(([name, demand]) => [name, refusedPart(demand, shares.get(name) ?? 0)] as const)
    .filter(([, fraction]) => fraction > 0)
    .sort(([, a], [, b]) => b - a)
  const listed = beyond.slice(0, MAX_LISTED)
  const names = new Set(listed.map(([name]) => name))
  const rest = [...demands].filter(([name]) => !names.has(name))
  const asked = sum(rest.map(([, demand]) => toAmount(demand)))
  const granted = sum(rest.map(([name]) => shares.get(name) ?? 0))
  return {listed, others: refusedPart(asked, granted)}
}

function refusedPart(demand: number, share: number): number {
  const asked = toAmount(demand)
  return asked > 0 ? Math.max(0, 1 - share / asked) : 0
}

function toAmount(value: number): number {
  return Number.isFinite(value) ? Math.max(0, value) : 0
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
