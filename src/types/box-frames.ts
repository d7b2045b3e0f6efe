/** The shape of what a box may tell its leader; what has another shape comes from no box of ours. */
import * as z from "zod"
import type {ToLeader} from "./box-messages.js"

/** Steps of time in which a box may tell what it sent. */
const MAX_STEPS = 100

const useChange = z.object({
  engine: z.string(),
  adapter: z.string().optional(),
  begun: z.number().min(0),
  ended: z.number().min(0),
  tokens: z.number()
})

const need = z.object({
  request: z.string(),
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  priority: z.number(),
  inTimeMs: z.number(),
  waitMs: z.number(),
  tokens: z.number(),
  failedAt: z.array(z.string())
})

const allowanceAsk = z.object({
  organisation: z.string(),
  used: z.number().min(0),
  returned: z.number().min(0),
  need: z.number().min(0),
  want: z.number().min(0)
})

const rateNews = z.object({
  server: z.string(),
  perSecond: z.number().min(0).optional(),
  sentAgoMs: z.number(),
  heardAgoMs: z.number()
})

const sentLately = z.object({
  server: z.string(),
  counts: z.array(z.number().min(0)).max(MAX_STEPS)
})

const sendAsk = z.object({
  server: z.string(),
  ask: z.number(),
  count: z.number().min(0),
  rank: z.number(),
  waitMs: z.number()
})

const crashNews = z.object({
  fingerprint: z.string(),
  lives: z.array(z.string()),
  ageMs: z.number().min(0),
  trials: z.number().min(0)
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
    ageMs: z.union([z.number().min(0), z.literal(Infinity)])
  }),
  z.object({t: z.literal("ask-config")}),
  z.object({t: z.literal("ask-all"), configVersion: z.number()}),
  z.object({t: z.literal("need"), need}),
  z.object({t: z.literal("drop"), request: z.string()}),
  z.object({t: z.literal("use"), changes: z.array(useChange)}),
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
    entries: z.array(allowanceAsk)
  }),
  z.object({t: z.literal("rate"), news: rateNews}),
  z.object({t: z.literal("sent-lately"), sent: z.array(sentLately)}),
  z.object({t: z.literal("send-asks"), asks: z.array(sendAsk)}),
  z.object({
    t: z.literal("crashes"),
    changes: z.object({
      records: z.array(crashNews),
      cleared: z.array(z.string())
    })
  }),
  z.object({t: z.literal("renewed"), ask: z.number(), known: z.boolean()}),
  z.object({t: z.literal("pong")})
])

/** The message of a box; undefined: it is none. */
export function readToLeader(value: unknown): ToLeader | undefined {
  const {success, data} = toLeader.safeParse(value)
  return success ? (data as ToLeader) : undefined
}
