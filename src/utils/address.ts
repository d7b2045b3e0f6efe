const OCTET = "(0|[1-9]\\d{0,2})"
const ADDRESS = new RegExp(
  `^${[OCTET, OCTET, OCTET, OCTET].join("\\.")}:([1-9]\\d{0,4})$`
)
const MAX_OCTET = 255
const MAX_PORT = 65_535

/** First octet of the addresses from which on none belongs to a single host. */
const FIRST_MULTICAST_OCTET = 224

/**
 * Whether a text is the IPv4 address of a host with a port, without leading zeros: other
 * parsers read such numbers as octal.
 */
export function isHostAddress(text: string): boolean {
  const [, ...parts] = ADDRESS.exec(text) ?? []
  const [network = 0, ...others] = parts.map(Number)
  const port = others.pop() ?? 0
  const isHost = network > 0 && network < FIRST_MULTICAST_OCTET
  return isHost && port <= MAX_PORT && others.every(octet => octet <= MAX_OCTET)
}

/** Splits an IP address and port, such as `10.0.0.1:80` or `[::1]:80`. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(":")
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "")
  return {host, port: Number(address.slice(colon + 1))}
}
