/** Parses and validates callers' requests. Invalid ones throw a `SedgeError`. */
import type {IncomingMessage} from "node:http"
import * as z from "zod"
import {findRecord, findOrganisationByKey, resolveModel} from "../core/configuration.js"
import type {Arrival} from "../core/entry-state.js"
import {SedgeError} from "../errors.js"
import {type Configuration, REQUEST_CLASSES, type RequestClass} from "../types/config.js"
import {sha256, shortHash} from "../utils/hash.js"
import type {AnswerMode} from "./exchange.js"
import {toFindings} from "./settings-file.js"

/** Headers defined by sedgeglade, see docs/protocols/callers.md. */
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
/** The `priority` sent to engines, which run requests with lower numbers first. */
const PRIORITIES: Readonly<Record<RequestClass, number>> = {
  till: 0,
  merchant: 10,
  overnight: 100
}

/** The fields used here; all others are passed to the engine unchanged. */
const completionSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional()
})

type CompletionBody = z.infer<typeof completionSchema>

/** Header with the identifier of a prompt's prefix, which engines use in cache events. */
const PREFIX_HEADER = "x-sedge-prefix"
/** Prefix length, about that of the instructions shared by an organisation's requests. */
const PREFIX_CHARS = 1_024

export interface ParsedRequest {
  readonly arrival: Arrival
  readonly mode: AnswerMode
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** The caller of a request, known by its key. */
export interface Caller {
  readonly organisation: string
  /** Digest of the key. */
  readonly apiKey: string
}

/**
 * Returns the organisation that the key of a request belongs to.
 * @throws SedgeError if there is no configuration yet, or no organisation has the key.
 */
export function authenticate(req: IncomingMessage, config: Configuration): Caller {
  if (config.generation === 0) throw new SedgeError("not-ready", "", 1_000)
  const match = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")
  if (match?.[1] === undefined) throw new SedgeError("unauthorized")
  const apiKey = sha256(match[1])
  const organisation = findOrganisationByKey(config, apiKey)
  if (organisation === undefined) throw new SedgeError("unauthorized")
  return {organisation, apiKey}
}

export function isCallerPath(path: string): boolean {
  return MODEL_PATHS.has(path) || SERVICE_PATH.test(path)
}

/** Parses a request with its complete body. */
export function parseRequest(
  req: IncomingMessage,
  body: Buffer,
  caller: Caller,
  id: string,
  config: Configuration
): ParsedRequest {
  const common = parseHeaders(req, caller.organisation, config)
  const bodyHash = shortHash(
    Buffer.concat([Buffer.from(`${req.method} ${req.url}\n`), body])
  )
  const arrival = {...common, ...caller, request: id, body: bodyHash}
  const service = SERVICE_PATH.exec(req.url ?? "")
  if (service) return parseService(req, body, arrival, service)
  return parseCompletion(req, body, arrival, config)
}

type CommonArrival = Omit<Arrival, "target" | "streamed">

function parseHeaders(
  req: IncomingMessage,
  organisation: string,
  config: Configuration
): Pick<Arrival, "class" | "repeatable" | "key" | "patienceMs"> {
  const allowed = findRecord(config, "organisation", organisation)?.value.classes ?? []
  const className = headerOf(req, CLASS_HEADER) ?? allowed[0] ?? "overnight"
  const requestClass = REQUEST_CLASSES.find(name => name === className)
  if (!requestClass) throw new SedgeError("bad-request", `unknown class ${className}`)
  if (!allowed.includes(requestClass))
    throw new SedgeError("forbidden", `class ${className}`)
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
  arrival: CommonArrival,
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
  arrival: CommonArrival,
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
  // Whether another organisation has such an adapter is not disclosed.
  if (!resolved || owner !== arrival.organisation)
    throw new SedgeError("unknown-model", model)
  const outgoing = {
    ...parsed.data,
    priority: PRIORITIES[arrival.class],
    // Cached prefixes are never shared between organisations.
    cache_salt: shortHash(`cache\n${arrival.organisation}`)
  }
  const prefix = hashPrefix(outgoing.cache_salt, parsed.data)
  const target = {kind: "model", model} as const
  return {
    arrival: {...arrival, streamed: stream === true, target, prefix},
    mode: stream ? "stream" : "whole",
    path: req.url ?? "",
    headers: {"content-type": "application/json", [PREFIX_HEADER]: prefix},
    body: Buffer.from(JSON.stringify(outgoing))
  }
}

/** Returns the identifier of a prompt's prefix, which is unique to the organisation. */
function hashPrefix(salt: string, {model, prompt, messages}: CompletionBody): string {
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
