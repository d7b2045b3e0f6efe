/**
 * The headers by which a box has another box send a request to a backend server, and by
 * which that box reports that it did not. Boxes use the address of their links for it.
 */
import * as z from "zod"

/** Header of a request that is to be sent on. */
export const CARRY_HEADER = "sedge-carry"

/** Header of an answer: the request was not sent, for the given reason. */
export const NOT_CARRIED_HEADER = "sedge-not-carried"

/** Its reason if the request, or a part of its prompt, crashes servers. */
export const QUARANTINED_REASON = "quarantined"

/** Header of an answer: the request was sent, and the server broke the connection. */
export const BROKEN_HEADER = "sedge-broken"

/** Header of a request that asks whether the named server accepts a connection. */
export const PROBE_HEADER = "sedge-probe"

/** Header of an answer: what marks its end at the server, see `AnswerFraming`. */
export const FRAMING_HEADER = "sedge-framing"

/** Header of messages between boxes about streams: `tell` or `ask`. */
export const STREAMS_HEADER = "sedge-streams"

/** Headers between boxes, which neither callers nor servers may send or see. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  BROKEN_HEADER,
  CARRY_HEADER,
  FRAMING_HEADER,
  NOT_CARRIED_HEADER,
  PROBE_HEADER,
  STREAMS_HEADER
])

const schema = z.object({
  /** Id of the server's incarnation. */
  server: z.string(),
  /** Name of the box that the caller is connected to, for logs. */
  asker: z.string(),
  /** Time left when the box sent it, milliseconds. */
  deadlineMs: z.number().min(0),
  priority: z.number(),
  expectedVersion: z.number().optional(),
  /** Key of the adapter. Undefined if none is requested. */
  adapter: z.string().optional(),
  /** Software version that the server must run. Undefined if any will do. */
  software: z.string().optional(),
  lastEventId: z.string().optional(),
  organisation: z.string().optional(),
  /** Whether the box holds an allowance for a rate-limited server. */
  isAllowed: z.boolean(),
  /** Fingerprint of the whole request. Its headers name the parts of its prompt. */
  fingerprint: z.string().optional(),
  /** Whether it is sent to find out if it crashes another server. */
  isTrial: z.boolean().optional()
})

export type CarryFacts = z.infer<typeof schema>

export function packCarryFacts(facts: CarryFacts): string {
  return Buffer.from(JSON.stringify(facts)).toString("base64url")
}

/** Returns undefined if the text is not from a box of the system. */
export function unpackCarryFacts(text: string): CarryFacts | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(text, "base64url").toString())
    return schema.safeParse(value).data
  } catch {
    return undefined
  }
}

/** Returns flat headers without those between boxes. */
export function stripOwn(headers: readonly string[]): string[] {
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string
    if (!OWN_HEADERS.has(name.toLowerCase())) kept.push(name, headers[i + 1] as string)
  }
  return kept
}
