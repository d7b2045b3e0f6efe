/**
 * A place in the order of all changes of the key-value service. A service that comes back from an older copy
 * gives revisions out again, for other changes: they compare within one era only.
 */
export interface StorePosition {
  readonly revision: number
  /** Rises each time the service comes back from an older copy; undefined: it tells none. */
  readonly era?: number | undefined
}
