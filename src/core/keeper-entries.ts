/** The entries a keeper knows: linked, silent, or gone. */
import {dropWaiting, entryGone} from "./cell-requests.js"
import {changeCells, type KeeperDraft, update} from "./keeper-draft.js"
import type {KeeperState} from "./keeper-state.js"
import {withEntry, withoutEntry} from "../utils/collections.js"

/** How often a silent entry is looked for. */
const PROBE_INTERVAL_MS = 1_000

/** An entry unknown at the takeover may have been at work under an earlier owner. */
export function learnEntries(draft: KeeperDraft, shown: KeeperState["entries"]): void {
  const {entries, links, silentSince} = draft.state
  const fresh = [...shown].filter(([entry]) => !entries.get(entry))
  if (fresh.length === 0) return
  const silent = fresh.map(([entry]) => entry).filter(entry => !links.has(entry))
  const since = silent.map(entry => [entry, draft.now] as const)
  update(draft, {
    entries: new Map([...entries, ...fresh]),
    silentSince: new Map([...silentSince, ...since])
  })
  awaitEntries(draft, silent)
}

/** A link is up: the entry tells its inventory next. */
export function linkUp(draft: KeeperDraft, entry: string, role: string): void {
  if (role !== "entry") return
  const {entries, links, silentSince} = draft.state
  update(draft, {
    links: new Set(links).add(entry),
    entries: entries.has(entry) ? entries : withEntry(entries, entry, undefined),
    silentSince: withoutEntry(silentSince, entry)
  })
  awaitEntries(draft, [entry])
  tellOwned(draft, entry)
}

/** A link is down: what the entry holds stays pinned; what it waits for it will ask again. */
export function linkDown(draft: KeeperDraft, entry: string): void {
  const links = new Set(draft.state.links)
  if (!links.delete(entry)) return
  update(draft, {
    links,
    silentSince: withEntry(draft.state.silentSince, entry, draft.now)
  })
  changeCells(draft, cell => dropWaiting(cell, entry))
}

/** Tells an entry what this keeper owns. */
export function tellOwned(draft: KeeperDraft, entry: string): void {
  const {owned} = draft.state.ownership
  const shares = [...owned].map(([share, fence]) => ({share, fence}))
  draft.effects.push({type: "send", to: entry, message: {t: "owned", shares}})
}

/** Looks for evidence on entries without a link. */
export function lookForSilent(draft: KeeperDraft): void {
  for (const entry of draft.state.silentSince.keys()) {
    const last = draft.state.probedAt.get(entry) ?? -Infinity
    if (draft.now - last < PROBE_INTERVAL_MS) continue
    update(draft, {probedAt: withEntry(draft.state.probedAt, entry, draft.now)})
    draft.effects.push({type: "probe", entry})
  }
}

/** Takes what was found; only evidence of its end, or a very long silence, frees its pins. */
export function takeProbe(
  draft: KeeperDraft,
  entry: string,
  verdict: "gone" | "alive" | "silent"
): void {
  const {silentSince, links, entries, probedAt} = draft.state
  const since = silentSince.get(entry)
  if (since === undefined || links.has(entry)) return
  const lapsed = draft.now - since >= draft.options.timing.entryGoneMs
  if (verdict !== "gone" && !lapsed) return
  if (!lapsed && mayStillStream(draft, entry)) return
  changeCells(draft, cell => entryGone(cell, entry, verdict))
  update(draft, {
    entries: withoutEntry(entries, entry),
    silentSince: withoutEntry(silentSince, entry),
    probedAt: withoutEntry(probedAt, entry),
    goneSince: withoutEntry(draft.state.goneSince, entry)
  })
  draft.effects.push({type: "forget-entry", entry})
}

/**
 * An engine that resumes streams goes on with those of a dead entry for a while: its end is no
 * evidence yet that nothing of it runs. Counted from the first sign of the end, which may be late.
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

function awaitEntries(draft: KeeperDraft, entries: readonly string[]): void {
  if (entries.length === 0) return
  changeCells(draft, cell => {
    cell.awaited = new Set([...cell.awaited, ...entries])
  })
}
