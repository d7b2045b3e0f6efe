/** Counters and histograms of a routed box, from the events of its decisions. */
import type {BoxNote, NoteFields} from "../core/box-state.js"
import type {FleetNote} from "../core/placement-state.js"
import type {Metrics} from "./metrics.js"

/** Counts an event, and records the times of an answered request by its route. */
export function measureNote(
  metrics: Metrics,
  event: BoxNote | FleetNote,
  fields: NoteFields
): void {
  const reason = fields["reason"] ?? fields["after"] ?? fields["result"]
  const labels: Record<string, string> = {event}
  if (reason !== undefined) labels["reason"] = String(reason)
  metrics.count("sedge_decisions_total", labels)
  if (event === "old-version-begun") {
    const route = String(fields["route"])
    metrics.observe("sedge_old_version_ms", {route}, Number(fields["oldForMs"]))
  }
  if (event !== "route-ended") return
  const route = String(fields["route"])
  metrics.observe("sedge_load_stall_ms", {route}, Number(fields["sentMs"]))
  metrics.observe("sedge_first_byte_ms", {route}, Number(fields["firstMs"]))
  metrics.observe("sedge_answer_ms", {route}, Number(fields["totalMs"]))
}
