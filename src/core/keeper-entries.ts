/** The entries of a keeper: linked, silent (without a live link) or gone. */
import {removeWaiting, handleEntryGone} from "./cell-requests.js"
import {changeCells, type KeeperDraft, update} from "./keeper-draft.js"
import type {KeeperState} from "./keeper-state.js"
import {withEntry, withoutEntry} from "../utils/collections.js"

/** Interval between probes of a silent entry. */
const PROBE_INTERVAL_MS = 1_000

/**
 * Adds registered entries. Their inventories are awaited, as an entry that was unknown at
 * the takeover may use grants of an earlier owner.
 */
export function addEntries(draft: KeeperDraft, registered: KeeperState["entries"]): void {
  const {entries, links, silentSince} = draft.state
  const fresh = [...registered].filter(([entry]) => !entries.get(entry))
  if (fresh.length === 0) return
  const silent = fresh.map(([entry]) => entry).filter(entry => !links.has(entry))
  const since = silent.map(entry => [entry, draft.now] as const)
  update(draft, {
    entries: new Map([...entries, ...fresh]),
    silentSince: new Map([...silentSince, ...since])
  })
  awaitInventories(draft, silent)
}

/** Handles a new link; the entry sends its inventory next. */
export function handleLinkUp(draft: KeeperDraft, entry: string, role: string): void {
  if (role !== "entry") return
  const {entries, links, silentSince} = draft.state
  update(draft, {
    links: new Set(links).add(entry),
    entries: entries.has(entry) ? entries : withEntry(entries, entry, undefined),
    silentSince: withoutEntry(silentSince, entry)
  })
  awaitInventories(draft, [entry])
  sendOwned(draft, entry)
}

/**
 * Handles the end of a link: removes the waiting requests of the entry, which it will
 * send again. The adapters that it holds stay loaded.
 */
export function handleLinkDown(draft: KeeperDraft, entry: string): void {
  const links = new Set(draft.state.links)
  if (!links.delete(entry)) return
  update(draft, {
    links,
    silentSince: withEntry(draft.state.silentSince, entry, draft.now)
  })
  changeCells(draft, cell => removeWaiting(cell, entry))
}

/** Sends an entry the shares that this keeper owns. */
export function sendOwned(draft: KeeperDraft, entry: string): void {
  const {owned} = draft.state.ownership
  const shares = [...owned].map(([share, fence]) => ({share, fence}))
  draft.effects.push({type: "send", to: entry, message: {t: "owned", shares}})
}

/** Probes the silent entries. */
export function probeSilentEntries(draft: KeeperDraft): void {
  for (const entry of draft.state.silentSince.keys()) {
    const last = draft.state.probedAt.get(entry) ?? -Infinity
    if (draft.now - last < PROBE_INTERVAL_MS) continue
    update(draft, {probedAt: withEntry(draft.state.probedAt, entry, draft.now)})
    draft.effects.push({type: "probe", entry})
  }
}

/**
 * Handles the result of a probe. Only evidence of its end, or a silence of `entryGoneMs`,
 * frees the adapters that an entry holds.
 */
export function handleProbeResult(
  draft: KeeperDraft,
  entry: string,
  verdict: "gone" | "alive" | "silent"
): void {
  const {silentSince, links, entries, probedAt} = draft.state
  const since = silentSince.get(entry)
  if (since === undefined || links.has(entry)) return
  const expired = draft.now - since >= draft.options.timing.entryGoneMs
  if (verdict !== "gone" && !expired) return
  if (!expired && mayStillStream(draft, entry)) return
  changeCells(draft, cell => handleEntryGone(cell, entry, verdict))
  update(draft, {
    entries: withoutEntry(entries, entry),
    silentSince: withoutEntry(silentSince, entry),
    probedAt: withoutEntry(probedAt, entry),
    goneSince: withoutEntry(draft.state.goneSince, entry)
  })
  draft.effects.push({type: "forget-entry", entry})
}

/**
 * Whether streams of a dead entry may still run: engines that resume streams continue
 * them for `streamLingerMs` after the entry's end. The time starts when the end is first
 * seen, which may be later than the end.
 */
function mayStillStream(draft: KeeperDraft, entry: string): boolean {
  const {config, goneSince} = draft.state
  const resumes = [...config.tables.backend.values()].some(
    ({value}) => value.kind === "model-engine" && value.resumesStreams === true
  )
  if (!resumes) return false
  const since = goneSince.get(entry) ?? draft.now
  update(draft, {goneSince: withEntry(goneSince, entry, since)})
  return draft.now - since < draft.options.timing.streamLingerMs
}

function awaitInventories(draft: KeeperDraft, entries: readonly string[]): void {
  if (entries.length === 0) return
  changeCells(draft, cell => {
    cell.awaitedInventories = new Set([...cell.awaitedInventories, ...entries])
  })
}
