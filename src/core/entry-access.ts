/** Revoked API keys: a request is dispatched only while its caller's key is valid. */
import type {Configuration} from "../types/config.js"
import {findOrganisationByKey} from "./configuration.js"
import type {EntryDraft} from "./entry-draft.js"
import {refuseRequest} from "./entry-requests.js"
import type {Arrival} from "./entry-state.js"

/** Whether the organisation of the request still has the key that the caller sent. */
export function hasValidKey(
  config: Configuration,
  {apiKey, organisation}: Arrival
): boolean {
  return apiKey === undefined || findOrganisationByKey(config, apiKey) === organisation
}

/** Refuses the waiting requests whose keys the new configuration no longer has. */
export function refuseRevokedKeys(draft: EntryDraft): void {
  for (const request of draft.requests.values()) {
    if (request.phase === "running" || hasValidKey(draft.state.config, request)) continue
    refuseRequest(draft, request, "unauthorized", undefined)
  }
}
