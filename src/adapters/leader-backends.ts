/** What a leader tells of backend servers, as events of the box that hears it. */
import type {Reading} from "../core/backend-list.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {FromLeader} from "../types/box-messages.js"

export type LeaderBackends = Extract<FromLeader, {t: "backends"}>

/** A list of the leader's is whole: what it holds in doubt is among it. Else it tells differences. */
export function toBackendEvents(
  {records, whole, gone, ageMs}: LeaderBackends,
  now: number
): ServingEvent[] {
  const reading: Reading = {source: "box", at: now - ageMs}
  if (whole) return [{type: "backends", records, reading}]
  return [
    ...records.map(record => ({
      type: "backend" as const,
      id: record.id,
      record,
      reading
    })),
    ...gone.map(id => ({type: "backend" as const, id, record: undefined, reading}))
  ]
}
