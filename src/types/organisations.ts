/**
 * Organisations in the routing configuration: keys of their callers, priority and usage
 * limit.
 */

/** Limit of an organisation's usage in any time window, over all boxes together. */
export interface UsageLimit {
  /** What is counted: prompt and generated tokens, or requests. */
  readonly unit: "tokens" | "requests"
  readonly perSecond: number
  /** Additional units in any window. */
  readonly burst: number
  /** Tokens charged for a request that does not report its own. */
  readonly plainTokens: number
}

export interface RoutedOrganisation {
  readonly name: string
  /** Digests of its callers' keys; the keys themselves are never stored. */
  readonly keys: readonly string[]
  /** 0 is the most urgent. Takes precedence over the priority of a route, if defined. */
  readonly priority?: number
  /** Undefined means unlimited. */
  readonly limit?: UsageLimit
}

/** Tokens of one request, as reported by its caller. */
export interface TokenUsage {
  readonly prompt: number
  /** Largest number of generated tokens. */
  readonly made: number
}
