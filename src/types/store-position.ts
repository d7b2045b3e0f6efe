/**
 * A position in the change history of the key-value service. After a restore from an
 * older backup the service reuses revisions for other changes, so revisions compare only
 * within one era.
 */
export interface StorePosition {
  readonly revision: number
  /**
   * Goes up with each restore from an older backup. Undefined if the service reports
   * none.
   */
  readonly era?: number | undefined
}
