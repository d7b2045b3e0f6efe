/** The settings of a routed box. */
import * as z from "zod"
import {RESERVED_FDS} from "../core/box-limits.js"
import {positiveMs, socketAddress} from "./settings.js"

export const routedSettingsSchema = z.strictObject({
  box: z.string().min(1).describe("Name of the box, for logs"),
  dataCentre: z.string().min(1).describe("Data centre of the box"),
  callers: socketAddress.describe("Address where callers connect"),
  ready: socketAddress.describe("Address of the readiness check"),
  boxes: socketAddress.describe(
    "Address where other boxes connect to this one while it leads"
  ),
  metrics: socketAddress
    .optional()
    .describe("Address that serves counters and histograms as text"),
  store: z.strictObject({
    address: socketAddress.describe("Key-value service"),
    prefix: z.string().min(1).describe("Prefix of the boxes' own keys"),
    timeoutMs: positiveMs.describe(
      "Time after which a call without an answer has failed"
    ),
    watchMs: positiveMs.describe("Longest time that a watch waits for changes"),
    leaseTtlMs: positiveMs.describe("Time to live of the leader's lease")
  }),
  orders: z.strictObject({
    checksFences: z.boolean().describe("Whether engines refuse orders with an old fence"),
    leaseMs: positiveMs.describe(
      "If they do not: shortest time between orders of two leaders"
    )
  }),
  processor: z
    .strictObject({
      share: z.number().positive().describe("Fraction of a core that the box may use"),
      cores: z
        .number()
        .positive()
        .describe("Speed of that core, relative to a reference core")
    })
    .optional(),
  limits: z
    .strictObject({
      memoryMb: z
        .number()
        .positive()
        .describe(
          "Memory that the box may use (1,048,576 bytes). Over 0.9 of it, until below 0.8, new connections are answered with 503; a sixteenth bounds the answers that callers have not read"
        ),
      maxFds: z
        .number()
        .int()
        .gt(RESERVED_FDS)
        .describe(
          "File descriptors that the box may open. Over 0.9 of them, less 200, new connections are answered with 503"
        )
    })
    .optional()
    .describe(
      "Without it, no connection is refused for memory or descriptors, and unread answers are bounded to 16 MB"
    ),
  keys: z
    .strictObject({
      takenAwayMs: positiveMs.describe(
        "Longest time that a revoked key stays accepted, also by boxes that are cut off. " +
          "Set it only where callers may need keys: until organisations are configured, requests are then refused while the store cannot be read"
      )
    })
    .optional(),
  usage: z
    .strictObject({
      windowS: z.number().positive().describe("Time window of organisations' limits (s)"),
      overage: z
        .number()
        .min(0)
        .describe("Allowed usage beyond a limit, as a fraction of it"),
      slack: z.number().min(0).describe("Allowed usage beyond a limit, in its unit")
    })
    .optional(),
  firstStart: z
    .boolean()
    .optional()
    .describe(
      "Whether no box of the system has run before. An empty key-value service then hides nothing"
    ),
  graceS: z
    .number()
    .positive()
    .describe("Longest time from a requested stop to the end of the process (s)"),
  retry: z.strictObject({
    ratio: z.number().min(0).describe("Retries per request, over all boxes"),
    slack: z.number().min(0).describe("Additional retries in each window"),
    windowS: z.number().positive().describe("Time window of both limits (s)")
  }),
  log: z.strictObject({level: z.enum(["debug", "info", "warn", "error"])})
})

export type RoutedSettings = z.infer<typeof routedSettingsSchema>
