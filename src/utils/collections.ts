/** Immutable updates of maps and sets: a change returns a new collection. */

/** Returns a copy of `map` with `key` set to `value`. */
export function withEntry<K, V>(
  map: ReadonlyMap<K, V>,
  key: K,
  value: V
): ReadonlyMap<K, V> {
  return new Map(map).set(key, value)
}

/** Returns a copy of `map` without `key`, or `map` itself if it has no such key. */
export function withoutEntry<K, V>(map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  if (!map.has(key)) return map
  const next = new Map(map)
  next.delete(key)
  return next
}

/** Returns the entries for which `keep` is true, or `map` itself if these are all. */
export function filterEntries<K, V>(
  map: ReadonlyMap<K, V>,
  keep: (value: V, key: K) => boolean
): ReadonlyMap<K, V> {
  const next = new Map<K, V>()
  for (const [key, value] of map) {
    if (keep(value, key)) next.set(key, value)
  }
  return next.size === map.size ? map : next
}

/** Returns a copy of `set` without `item`, or `set` itself if it has no such item. */
export function withoutItem<T>(set: ReadonlySet<T>, item: T): ReadonlySet<T> {
  if (!set.has(item)) return set
  const next = new Set(set)
  next.delete(item)
  return next
}

/** Counts the items for which `test` is true. */
export function countWhere<T>(items: Iterable<T>, test: (item: T) => boolean): number {
  let count = 0
  for (const item of items) if (test(item)) count++
  return count
}
