/** Organisations as a routed box knows them: by their callers' keys, with their rank and what they may use. */

/** What an organisation may use in any window, over all boxes together. */
export interface UsageLimit {
  /** What is counted: tokens read and made, or requests. */
  readonly unit: "tokens" | "requests"
  /** Of that unit, a second. */
  readonly perSecond: number
  /** Besides, in any window. */
  readonly burst: number
  /** Tokens that a request counts which tells none. */
  readonly plainTokens: number
}

export interface RoutedOrganisation {
  readonly name: string
  /** Digests of its callers' keys; the keys themselves are never kept. */
  readonly keys: readonly string[]
  /** 0 is the most urgent; it goes before the rank of a route. Undefined: none is told. */
  readonly priority?: number
  /** Undefined: it may use as much as there is. */
  readonly limit?: UsageLimit
}

/** Tokens of one request, as its caller tells them. */
export interface TokenUsage {
  /** Of the prompt. */
  readonly prompt: number
  /** Made at most. */
  readonly made: number
}
