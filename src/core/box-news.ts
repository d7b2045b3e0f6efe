/** How old the news is that a box sends requests by. */
import type {BoxServing} from "./box-state.js"
import {STALE_MS} from "./news-age.js"
import {type KnownEra, lacksNews} from "./eras.js"

/**
 * At that time the news was as new as it can be had; `read`: since the store was read then, and not
 * since nobody could.
 */
export function noteNews(box: BoxServing, at: number, read = true): void {
  box.newsAt = Math.max(box.newsAt ?? -Infinity, at)
  if (read) box.readAt = Math.max(box.readAt ?? -Infinity, at)
}

/** The store was read then for the configuration that is in force here, or before. */
export function noteConfigRead(box: BoxServing, at: number): void {
  box.configReadAt = Math.max(box.configReadAt ?? -Infinity, at)
}

/**
 * Since the store was read for the configuration in force here, milliseconds; Infinity: it never was. What
 * an older copy of the store lacks may have been acknowledged before it came back: such readings do not count.
 */
export function configAgeMs(box: BoxServing, now: number): number {
  const copied = lacksNews(box.era, now)
  return now - ((copied ? box.configReadBeforeEra : box.configReadAt) ?? -Infinity)
}

/** Whether the box knows the newest configuration of late: what that has not is not there. */
export function isConfigCurrent(box: BoxServing, now: number): boolean {
  return configAgeMs(box, now) <= STALE_MS
}

/**
 * The era of the store, as it is known from now on. As it rises, the box keeps what it knew: what the store
 * lacks from then on may have been acknowledged since it was read last.
 */
export function noteEra(box: BoxServing, known: KnownEra, rose: boolean): void {
  const readAt = readWithoutAt(box, known.by)
  const configReadAt = known.by - configAgeMs(box, known.by)
  box.era = known
  if (!rose) return
  // A box that had read only the copy knows of no reading before.
  box.readBeforeEra = readAt !== undefined && readAt < known.by ? readAt : undefined
  box.configReadBeforeEra = configReadAt < known.by ? configReadAt : undefined
}

/** When the store was read last without what is told now; undefined: nobody knows of such a reading. */
export function readWithoutAt(box: BoxServing, now: number): number | undefined {
  return lacksNews(box.era, now) ? box.readBeforeEra : box.readAt
}

/**
 * Whether the box knows what the store held of late. News that nobody could read lets requests go on to what
 * is known; that something is not there can't be told by it.
 */
export function isCurrent({readAt, era}: BoxServing, now: number): boolean {
  if (lacksNews(era, now)) return false
  return readAt !== undefined && now - readAt <= STALE_MS
}

/**
 * Whether requests have to wait for newer news. A process that stood still takes what came meanwhile in
 * the turn in which it goes on, and would send it to servers that left long before.
 */
export function isStale({newsAt}: BoxServing, now: number): boolean {
  return newsAt !== undefined && now - newsAt > STALE_MS
}
