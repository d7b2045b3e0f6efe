/** Entries of backend servers that are well-formed and yet impossible. */

/** Depth at which recursive readers run out of stack. */
export const DEEP = 20_000

const ENTRY = {
  service: "plain",
  address: "127.0.0.1:9",
  zone: "dc-0",
  version: "v1",
  slots: 96,
  state: "ready",
  coldRemainingMs: 0,
  sequence: 0,
  born: 1_790_000_000_000
}

/** Returns an entry whose `key` has the JSON text `value`. */
function withValue(key: string, value: string): string {
  const others = Object.entries(ENTRY).filter(([name]) => name !== key)
  const text = JSON.stringify(Object.fromEntries(others))
  return `${text.slice(0, -1)},${JSON.stringify(key)}:${value}}`
}

export const ODD_ENTRIES: Readonly<Record<string, string>> = {
  octal: withValue("address", '"127.00.08.1:9"'),
  "octal-read-otherwise": withValue("address", '"127.0.0.010:9"'),
  "port-zeros": withValue("address", '"127.0.0.1:00009"'),
  "port-zero": withValue("address", '"127.0.0.1:0"'),
  "port-large": withValue("address", '"127.0.0.1:70000"'),
  "any-host": withValue("address", '"0.0.0.0:9"'),
  broadcast: withValue("address", '"255.255.255.255:9"'),
  "cold-large": withValue("coldRemainingMs", "1e308"),
  "slots-large": withValue("slots", "1e300"),
  "born-large": withValue("born", "1e400"),
  "version-lines": withValue("version", '"1\\r\\nX: y"'),
  "version-surrogate": withValue("version", '"\\ud800"'),
  "zone-proto": withValue("zone", '"__proto__"'),
  deep: withValue("models", "[".repeat(DEEP) + "]".repeat(DEEP)),
  "deep-extra": withValue("more", '{"a":'.repeat(DEEP) + "1" + "}".repeat(DEEP))
}
