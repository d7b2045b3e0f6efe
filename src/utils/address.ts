/** Splits an IP address and port, such as `10.0.0.1:80` or `[::1]:80`. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(":")
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "")
  return {host, port: Number(address.slice(colon + 1))}
}
