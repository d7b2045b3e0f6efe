/**
 * Schemas of the messages from a box to its leader. Anything else is not from a box of
 * the system.
 */
import * as z from "zod"
import {MAX_DEMAND_ROWS} from "./load-messages.js"
import type {ToLeader} from "./box-messages.js"

/** Limits the time steps for which a box reports sent requests. */
const MAX_SENT_STEPS = 100

/** An account has an amount for each half second, and for each unexpired allowance. */
const MAX_TIMED_AMOUNTS = 2_000

const engineUseDelta = z.object({
  engine: z.string(),
  adapter: z.string().optional(),
  begun: z.number().min(0),
  ended: z.number().min(0),
  tokens: z.number(),
  pace: z.object({events: z.number().min(0), ms: z.number().min(0)}).optional()
})

const weightsRequest = z.object({
  request: z.string(),
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  priority: z.number(),
  inTimeMs: z.number(),
  waitMs: z.number(),
  tokens: z.number(),
  software: z.string().optional(),
  minSpeed: z.number().min(0).optional(),
  failedAt: z.array(z.string())
})

const timedAmounts = z
  .array(z.object({amount: z.number().min(0), forMs: z.number()}))
  .max(MAX_TIMED_AMOUNTS)

const allowanceRequest = z.object({
  organisation: z.string(),
  used: z.number().min(0),
  returned: z.number().min(0),
  need: z.number().min(0),
  want: z.number().min(0),
  account: z.object({used: timedAmounts, held: timedAmounts}).optional()
})

const rateReport = z.object({
  server: z.string(),
  perSecond: z.number().min(0).optional(),
  sentAgoMs: z.number(),
  heardAgoMs: z.number()
})

const sentCounts = z.object({
  server: z.string(),
  counts: z.array(z.number().min(0)).max(MAX_SENT_STEPS),
  perSecond: z.number().min(0).optional()
})

const sendAllowanceRequest = z.object({
  server: z.string(),
  ask: z.number(),
  count: z.number().min(0),
  rank: z.number(),
  waitMs: z.number(),
  perSecond: z.number().min(0).optional()
})

/** The rank is a priority of the configuration, which may be any number. */
const demandRow = z.tuple([
  z.string(),
  z.number(),
  z.string(),
  z.number().min(0),
  z.number().min(0),
  z.number().min(0)
])

const crashReport = z.object({
  fingerprint: z.string(),
  lives: z.array(z.string()),
  ageMs: z.number().min(0),
  firstAgeMs: z.number().min(0).optional(),
  trials: z.number().min(0),
  answered: z.boolean().optional()
})

const toLeader = z.discriminatedUnion("t", [
  z.object({
    t: z.literal("hello"),
    box: z.string(),
    incarnation: z.string(),
    configVersion: z.number(),
    ageMs: z.number().min(0),
    address: z.string(),
    deflates: z.boolean().optional(),
    capacity: z.number().min(0).optional()
  }),
  z.object({
    t: z.literal("ask-news"),
    configVersion: z.number(),
    ageMs: z.union([z.number().min(0), z.literal(Infinity)]),
    keepsLink: z.boolean().optional()
  }),
  z.object({t: z.literal("ask-config")}),
  z.object({t: z.literal("ask-all"), configVersion: z.number()}),
  z.object({t: z.literal("need"), need: weightsRequest}),
  z.object({t: z.literal("drop"), request: z.string()}),
  z.object({t: z.literal("use"), changes: z.array(engineUseDelta)}),
  z.object({
    t: z.literal("missing"),
    engine: z.string(),
    adapter: z.string(),
    late: z.boolean()
  }),
  z.object({t: z.literal("ask-retry"), request: z.string(), service: z.string()}),
  z.object({
    t: z.literal("usage"),
    ask: z.number(),
    entries: z.array(allowanceRequest)
  }),
  z.object({t: z.literal("rate"), news: rateReport}),
  z.object({t: z.literal("sent-lately"), sent: z.array(sentCounts)}),
  z.object({t: z.literal("send-asks"), asks: z.array(sendAllowanceRequest)}),
  z.object({t: z.literal("demand"), rows: z.array(demandRow).max(MAX_DEMAND_ROWS)}),
  z.object({
    t: z.literal("crashes"),
    changes: z.object({
      records: z.array(crashReport),
      cleared: z.array(z.string())
    })
  }),
  z.object({t: z.literal("renewed"), ask: z.number(), known: z.boolean()}),
  z.object({
    t: z.literal("written"),
    ask: z.number(),
    result: z.enum(["written", "conflict", "unavailable", "unknown"]),
    revision: z.number().min(0).optional(),
    era: z.number().optional()
  }),
  z.object({t: z.literal("pong")})
])

/** Parses a message from a box. Undefined if the value is no such message. */
export function parseToLeader(value: unknown): ToLeader | undefined {
  const {success, data} = toLeader.safeParse(value)
  return success ? (data as ToLeader) : undefined
}
