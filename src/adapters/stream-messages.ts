/** The messages between boxes about where streams began: JSON over HTTP. */
import {type Agent, request} from "node:http"
import * as z from "zod"
import {splitAddress} from "../utils/address.js"
import {STREAMS_HEADER} from "./carry-headers.js"
import {limitInformational} from "./informational-heads.js"
import {limitTime} from "../utils/time-limit.js"

/** Allows for connecting and the link delays. */
const ANSWER_TIMEOUT_MS = 250

/** Longest text in a message. */
const MAX_TEXT_CHARACTERS = 1_000

const text = z.string().max(MAX_TEXT_CHARACTERS)

const origin = z.object({service: text, software: text})

/** Reports where streams began. */
export const told = z.object({
  origins: z.array(origin.extend({stream: text, forMs: z.number().min(0)}))
})

/** Asks where a stream began. */
export const question = z.object({stream: text, service: text})

/** The answer to a question. */
export const answer = z.object({
  origin: origin.optional(),
  recent: z.array(text),
  observedMs: z.number().min(0)
})

/** `tell`: see `told`. `ask`: see `question`. */
export type StreamMessageKind = "tell" | "ask"

/** What another box answered, with whatever status. */
export interface PeerAnswer {
  readonly content: string
}

/** Sends a message to another box. Resolves to undefined if it isn't answered in time. */
export function postMessage(
  agent: Agent,
  address: string,
  kind: StreamMessageKind,
  body: string
): Promise<PeerAnswer | undefined> {
  const limit = limitTime(ANSWER_TIMEOUT_MS)
  return new Promise(resolve => {
    const call = request({
      ...splitAddress(address),
      agent,
      method: "POST",
      headers: {
        [STREAMS_HEADER]: kind,
        "content-length": String(Buffer.byteLength(body))
      },
      signal: limit.signal
    })
    limitInformational(call)
    call.on("close", limit.clear)
    call.on("error", () => resolve(undefined))
    call.on("response", answered => {
      let content = ""
      answered.setEncoding("utf8")
      answered.on("data", (part: string) => (content += part))
      answered.on("end", () => resolve({content}))
      answered.on("error", () => resolve(undefined))
    })
    call.end(body)
  })
}

/** Parses JSON. Undefined if it is none. */
export function parseJson(content: string): unknown {
  try {
    return JSON.parse(content) as unknown
  } catch {
    return undefined
  }
}
