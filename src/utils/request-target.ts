/** Targets of HTTP requests. */

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i

/**
 * Returns the path and query of a request's target. A target with scheme and host, which
 * each server has to accept (RFC 9112, 3.2.2), loses these; the `Host` header has the host.
 */
export function toOriginForm(target: string): string {
  const rest = target.replace(ABSOLUTE_FORM, "")
  return rest.startsWith("?") || rest === "" ? `/${rest}` : rest
}

/** Whether a request target has only visible ASCII characters, as RFC 9112 asks. */
export function isVisibleAscii(target: string): boolean {
  return /^[\x21-\x7e]*$/.test(target)
}
