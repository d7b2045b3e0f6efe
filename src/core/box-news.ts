/** How old the news is that a box sends requests by. */
import type {BoxServing} from "./box-state.js"
import {STALE_MS} from "./news-age.js"

/**
 * At that time the news was as new as it can be had; `read`: since the store was read then, and not
 * since nobody could.
 */
export function noteNews(box: BoxServing, at: number, read = true): void {
  box.newsAt = Math.max(box.newsAt ?? -Infinity, at)
  if (read) box.readAt = Math.max(box.readAt ?? -Infinity, at)
}

/**
 * Whether the box knows what the store held of late. News that nobody could read lets requests go on to what
 * is known; that something is not there can't be told by it.
 */
export function isCurrent({readAt}: BoxServing, now: number): boolean {
  return readAt !== undefined && now - readAt <= STALE_MS
}

/**
 * Whether requests have to wait for newer news. A process that stood still takes what came meanwhile in
 * the turn in which it goes on, and would send it to servers that left long before.
 */
export function isStale({newsAt}: BoxServing, now: number): boolean {
  return newsAt !== undefined && now - newsAt > STALE_MS
}
