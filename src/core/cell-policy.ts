/**
 * Calls the active policy, and the built-in one if it fails. Policies only rank and
 * limit, so a faulty one can't break the safety rules of the core.
 */
import {type CellDraft, logEvent} from "./cell-state.js"
import type {Policy} from "./policy.js"

export interface Policies {
  readonly policy: Policy
  /** Decides if `policy` throws or is suspended. */
  readonly builtIn: Policy
}

/** Failed decisions after which a policy is suspended in the cell. */
export const MAX_POLICY_FAULTS = 20

/** Returns the decision of the active policy, or of the built-in one if it fails. */
export function decide<T>(
  draft: CellDraft,
  {policy, builtIn}: Policies,
  query: (policy: Policy) => T
): T {
  if (isSuspended(draft, policy)) return query(builtIn)
  try {
    return query(policy)
  } catch (cause) {
    recordFault(draft, policy, cause as Error)
    return query(builtIn)
  }
}

/** The name of the policy that decides in the cell: the active or the built-in one. */
export function nameOfDecidingPolicy(
  draft: CellDraft,
  {policy, builtIn}: Policies
): string {
  return isSuspended(draft, policy) ? builtIn.name : policy.name
}

function isSuspended({policyFaults}: CellDraft, {name}: Policy): boolean {
  return policyFaults.policy === name && policyFaults.count >= MAX_POLICY_FAULTS
}

function recordFault(draft: CellDraft, {name}: Policy, {message}: Error): void {
  const previous = draft.policyFaults.policy === name ? draft.policyFaults.count : 0
  draft.policyFaults = {policy: name, count: previous + 1}
  logEvent(draft, "policy-fault", {policy: name, reason: message})
  if (previous + 1 === MAX_POLICY_FAULTS)
    logEvent(draft, "policy-suspended", {policy: name})
}
