/**
 * Metrics of a routed box: gauges of its state; counters and histograms of its log
 * events.
 */
import type {BoxLogEvent, LogFields} from "../core/box-state.js"
import {observedVersionsMs} from "../core/box-streams.js"
import type {FleetLogEvent} from "../core/placement-state.js"
import {WHOLE_HISTORY_MS} from "../core/service-versions.js"
import type {RoutedState} from "../core/serving-fleet.js"
import type {BoxOverload} from "./box-overload.js"
import {clockNow} from "./clock.js"
import type {Metrics} from "./metrics.js"
import type {SnapshotSource} from "./snapshot-source.js"
import type {SurplusAnswers} from "./surplus-answers.js"
import type {UnreadAnswers} from "./unread-answers.js"

/** Upper bound of the reported snapshot age; also reported if there is no snapshot. */
const MAX_REPORTED_AGE_MS = 3_600_000

/** The parts of a box from which its gauges are read. */
export interface GaugeSources {
  readonly state: () => RoutedState
  readonly snapshotSource: SnapshotSource
  /** Era of the key-value service. Undefined if the service reports none. */
  readonly era: () => number | undefined
  readonly openRequests: () => number
}

/** Registers the gauges of a box. */
export function registerGauges(
  metrics: Metrics,
  {state, snapshotSource, era, openRequests}: GaugeSources
): void {
  const {serving} = state()
  metrics.gauge("sedge_store_era", {}, () => era() ?? 0)
  metrics.gauge("sedge_open_requests", {}, openRequests)
  metrics.gauge("sedge_leads", {}, () => (state().fleet === undefined ? 0 : 1))
  metrics.gauge("sedge_boxes", {}, () => serving.boxCount)
  metrics.gauge("sedge_backend_servers", {}, () => serving.backends.known.size)
  metrics.gauge("sedge_unreadable_entries", {}, () => snapshotSource.unreadable)
  metrics.gauge("sedge_config_version", {}, () => snapshotSource.config?.version ?? 0)
  metrics.gauge("sedge_paced_servers", {}, () => serving.advertisedRates.list().length)
  metrics.gauge("sedge_sends_allowed", {}, () => state().pacer?.granted ?? 0)
  metrics.gauge("sedge_sends_not_allowed", {}, () => state().pacer?.refused ?? 0)
  metrics.gauge("sedge_slow_plain_servers", {}, () => serving.plainServers.slow)
  metrics.gauge("sedge_moved_from_slow_servers", {}, () => serving.plainServers.moved)
  metrics.gauge("sedge_quarantined", {}, () => serving.crashes.quarantined.size)
  metrics.gauge("sedge_services_short", {}, () =>
    serving.admission.countLevels(clockNow())
  )
  metrics.gauge("sedge_versions_observed_ms", {}, () =>
    Math.min(WHOLE_HISTORY_MS, observedVersionsMs(serving, clockNow()))
  )
  metrics.gauge("sedge_news_age_ms", {}, () =>
    Math.min(MAX_REPORTED_AGE_MS, snapshotSource.ageMs(clockNow()))
  )
}

/** Registers the gauges and counters of slow readers and of the limits of the box. */
export function registerLoadGauges(
  metrics: Metrics,
  unread: UnreadAnswers,
  overload: BoxOverload
): void {
  metrics.gauge("sedge_unread_bytes", {}, () => unread.totalBytes)
  metrics.gauge("sedge_held_answers", {}, () => unread.heldUp)
  metrics.gauge("sedge_held_answers_total", {}, () => unread.heldCount)
  metrics.gauge("sedge_unread_cuts_total", {}, () => unread.cutCount)
  if (!overload.isWatching) return
  metrics.gauge("sedge_over_limit", {}, () => (overload.isOver ? 1 : 0))
  metrics.gauge("sedge_over_limit_refusals_total", {}, () => overload.refusedCount)
  metrics.gauge("sedge_memory_bytes", {}, () => overload.use.memoryBytes)
  metrics.gauge("sedge_open_sockets", {}, () => overload.use.openSockets)
}

/** Registers the counters of answers too many. */
export function registerSurplusGauges(metrics: Metrics, surplus: SurplusAnswers): void {
  metrics.gauge("sedge_mismatched_answers_total", {}, () => surplus.mismatchedCount)
  metrics.gauge("sedge_passed_over_connections_total", {}, () => surplus.passedOverCount)
}

/** Counts a log event, and records the durations of an answered request by route. */
export function recordLogEvent(
  metrics: Metrics,
  event: BoxLogEvent | FleetLogEvent,
  fields: LogFields
): void {
  const reason = fields["reason"] ?? fields["after"] ?? fields["result"]
  const labels: Record<string, string> = {event}
  if (reason !== undefined) labels["reason"] = String(reason)
  metrics.count("sedge_decisions_total", labels)
  if (event === "old-version-begun") {
    const route = String(fields["route"])
    metrics.observe("sedge_old_version_ms", {route}, Number(fields["oldForMs"]))
  }
  if (event === "route-overloaded") countOverload(metrics, fields)
  if (event !== "route-ended") return
  const route = String(fields["route"])
  metrics.observe("sedge_load_stall_ms", {route}, Number(fields["sentMs"]))
  metrics.observe("sedge_first_byte_ms", {route}, Number(fields["firstMs"]))
  metrics.observe("sedge_answer_ms", {route}, Number(fields["totalMs"]))
}

/** Counts a request refused for overload, by its kind, organisation and cause. */
function countOverload(metrics: Metrics, fields: LogFields): void {
  const labels = {
    route: String(fields["route"]),
    organisation: String(fields["organisation"]),
    cause: String(fields["cause"])
  }
  metrics.count("sedge_overload_refusals_total", labels)
}
