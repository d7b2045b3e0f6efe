/** The settings of a routed box. */
import * as z from "zod"
import {positiveMs, socketAddress} from "./settings.js"

export const routedSettingsSchema = z.strictObject({
  box: z.string().min(1).describe("Name of the box, for logs"),
  dataCentre: z.string().min(1).describe("Data centre of the box"),
  callers: socketAddress.describe("Where callers connect"),
  ready: socketAddress.describe("Answers whether the box takes requests"),
  boxes: socketAddress.describe("Where other boxes link to this one while it leads"),
  metrics: socketAddress.optional().describe("Serves counters and histograms as text"),
  store: z.strictObject({
    address: socketAddress.describe("Key-value service"),
    prefix: z.string().min(1).describe("Prefix of the boxes' own keys"),
    timeoutMs: positiveMs.describe("A call without an answer has failed after this"),
    watchMs: positiveMs.describe("How long a watch waits for changes"),
    leaseTtlMs: positiveMs.describe("Lease of the leader")
  }),
  orders: z.strictObject({
    checksFences: z.boolean().describe("Engines refuse orders with an old fence"),
    leaseMs: positiveMs.describe(
      "Where they do not: the least time between orders of two leaders"
    )
  }),
  processor: z
    .strictObject({
      share: z.number().positive().describe("Of a core, what the box may use"),
      cores: z.number().positive().describe("How many times as fast that core is")
    })
    .optional(),
  keys: z
    .strictObject({
      takenAwayMs: positiveMs.describe(
        "A key that was taken away is used for so long at most, also by boxes that are cut off"
      )
    })
    .optional(),
  usage: z
    .strictObject({
      windowS: z.number().positive().describe("Window of organisations' limits, seconds"),
      overage: z.number().min(0).describe("Use beyond a limit, as a part of it"),
      slack: z.number().min(0).describe("Use beyond a limit, in its unit")
    })
    .optional(),
  graceS: z
    .number()
    .positive()
    .describe("After a stop was asked for, the process ends within this, seconds"),
  retry: z.strictObject({
    ratio: z.number().min(0).describe("Repeated sends for each request, over all boxes"),
    slack: z.number().min(0).describe("Repeated sends besides in each window"),
    windowS: z.number().positive().describe("The window both are counted in, seconds")
  }),
  log: z.strictObject({level: z.enum(["debug", "info", "warn", "error"])})
})

export type RoutedSettings = z.infer<typeof routedSettingsSchema>
