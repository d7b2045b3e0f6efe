/** Reads and checks what callers send; everything wrong with it is an error of the table. */
import type {IncomingMessage} from "node:http"
import * as z from "zod"
import {findRecord, findOrganisationByKey, resolveModel} from "../core/configuration.js"
import type {Arrival} from "../core/entry-state.js"
import {SedgeError} from "../errors.js"
import {type Configuration, REQUEST_CLASSES, type RequestClass} from "../types/config.js"
import {sha256, shortHash} from "../utils/hash.js"
import type {AnswerMode} from "./exchange.js"
import {toFindings} from "./settings-file.js"

/** Headers of sedgeglade's own. See docs/protocols/callers.md. */
export const CLASS_HEADER = "x-sedge-class"
export const DEADLINE_HEADER = "x-sedge-deadline-ms"
export const NOT_REPEATABLE_HEADER = "x-sedge-not-repeatable"
export const KEY_HEADER = "idempotency-key"

const MODEL_PATHS: ReadonlySet<string> = new Set([
  "/v1/completions",
  "/v1/chat/completions"
])
const SERVICE_PATH = /^\/services\/([^/?]+)(\/.*)?$/
const MAX_KEY_LENGTH = 255
/** Higher goes first at the engines, which honour priorities; lower numbers first, as published. */
const PRIORITIES: Readonly<Record<RequestClass, number>> = {
  till: 0,
  merchant: 10,
  overnight: 100
}

/** Only what is needed here; the rest of the body is the engine's business. */
const completionSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional()
})

type CompletionBody = z.infer<typeof completionSchema>

/** The header that tells engines the name of a prompt's start; their cache events use it. */
const PREFIX_HEADER = "x-sedge-prefix"
/** How much of a prompt has a name: about the shared instructions of an organisation's requests. */
const PREFIX_CHARS = 1_024

export interface ParsedRequest {
  readonly arrival: Arrival
  readonly mode: AnswerMode
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** The organisation a request comes from, by its key. */
export function authenticate(req: IncomingMessage, config: Configuration): string {
  if (config.generation === 0) throw new SedgeError("not-ready", "", 1_000)
  const match = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")
  const organisation =
    match?.[1] === undefined ? undefined : findOrganisationByKey(config, sha256(match[1]))
  if (organisation === undefined) throw new SedgeError("unauthorized")
  return organisation
}

/** Whether a path is one that callers may use. */
export function isCallerPath(path: string): boolean {
  return MODEL_PATHS.has(path) || SERVICE_PATH.test(path)
}

/** A whole request as the core takes it. */
export function parseRequest(
  req: IncomingMessage,
  body: Buffer,
  organisation: string,
  id: string,
  config: Configuration
): ParsedRequest {
  const common = parseHeaders(req, organisation, config)
  const bodyHash = shortHash(
    Buffer.concat([Buffer.from(`${req.method} ${req.url}\n`), body])
  )
  const arrival = {...common, request: id, organisation, body: bodyHash}
  const service = SERVICE_PATH.exec(req.url ?? "")
  if (service) return parseService(req, body, arrival, service)
  return parseCompletion(req, body, arrival, config)
}

type Common = Omit<Arrival, "target" | "streamed">

function parseHeaders(
  req: IncomingMessage,
  organisation: string,
  config: Configuration
): Pick<Arrival, "class" | "repeatable" | "key" | "patienceMs"> {
  const allowed = findRecord(config, "organisation", organisation)?.value.classes ?? []
  const asked = headerOf(req, CLASS_HEADER) ?? allowed[0] ?? "overnight"
  const requestClass = REQUEST_CLASSES.find(name => name === asked)
  if (!requestClass) throw new SedgeError("bad-request", `unknown class ${asked}`)
  if (!allowed.includes(requestClass)) throw new SedgeError("forbidden", `class ${asked}`)
  const key = headerOf(req, KEY_HEADER)
  if (key !== undefined && (key === "" || key.length > MAX_KEY_LENGTH)) {
    throw new SedgeError(
      "bad-request",
      `${KEY_HEADER} has 1 to ${MAX_KEY_LENGTH} characters`
    )
  }
  return {
    class: requestClass,
    repeatable: key === undefined && headerOf(req, NOT_REPEATABLE_HEADER) !== "true",
    key: key === undefined ? undefined : shortHash(`${organisation}\n${key}`),
    patienceMs: parseDeadline(headerOf(req, DEADLINE_HEADER))
  }
}

function parseDeadline(text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  const value = Number(text)
  if (!Number.isInteger(value) || value <= 0) {
    throw new SedgeError("bad-request", `${DEADLINE_HEADER} is a whole number above 0`)
  }
  return value
}

function parseService(
  req: IncomingMessage,
  body: Buffer,
  arrival: Common,
  match: RegExpExecArray
): ParsedRequest {
  const [, service = "", path = "/"] = match
  return {
    arrival: {...arrival, streamed: false, target: {kind: "service", service}},
    mode: "service",
    path,
    headers: {
      "content-type": headerOf(req, "content-type") ?? "application/octet-stream",
      "x-sedge-organisation": arrival.organisation
    },
    body
  }
}

function parseCompletion(
  req: IncomingMessage,
  body: Buffer,
  arrival: Common,
  config: Configuration
): ParsedRequest {
  if (req.method !== "POST") throw new SedgeError("bad-request", "use POST")
  const parsed = completionSchema.safeParse(parseJson(body))
  if (!parsed.success) {
    const findings = toFindings(parsed.error.issues)
    throw new SedgeError("bad-request", "", undefined, findings)
  }
  const {model, stream} = parsed.data
  const resolved = resolveModel(config, model)
  const owner =
    resolved && findRecord(config, "adapter", resolved.adapter)?.value.organisation
  // Another firm's adapter is not even named as existing.
  if (!resolved || owner !== arrival.organisation)
    throw new SedgeError("unknown-model", model)
  const outgoing = {
    ...parsed.data,
    priority: PRIORITIES[arrival.class],
    // Cached prefixes are never shared between organisations.
    cache_salt: shortHash(`cache\n${arrival.organisation}`)
  }
  const prefix = namePrefix(outgoing.cache_salt, parsed.data)
  const target = {kind: "model", model} as const
  return {
    arrival: {...arrival, streamed: stream === true, target, prefix},
    mode: stream ? "stream" : "whole",
    path: req.url ?? "",
    headers: {"content-type": "application/json", [PREFIX_HEADER]: prefix},
    body: Buffer.from(JSON.stringify(outgoing))
  }
}

/** A name for the start of a prompt within an organisation's part of the prefix caches. */
function namePrefix(salt: string, {model, prompt, messages}: CompletionBody): string {
  const text = typeof prompt === "string" ? prompt : JSON.stringify(messages ?? prompt)
  return shortHash(`${salt}\n${model}\n${(text ?? "").slice(0, PREFIX_CHARS)}`)
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"))
  } catch (cause) {
    throw new SedgeError("bad-json", (cause as Error).message)
  }
}

function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}
