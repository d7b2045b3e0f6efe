/** The settings of a box: one JSON file for all its processes. */
import * as z from "zod"
import {DEFAULT_TIMING, TIMING_TEXTS} from "../core/timing.js"

export const socketAddress = z
  .string()
  .regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be an IP number and a port, as 10.0.0.1:8080"
  )
  .describe("IP number and port")
const url = z
  .string()
  .regex(
    /^http:\/\/[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be http:// with an IP number and a port"
  )
const address = socketAddress
const positive = z.number().int().positive()
export const positiveMs = positive
const ms = positiveMs

/** Every time of `Timing` may be overridden; the defaults are the table's. */
const timing = z
  .strictObject(
    Object.fromEntries(
      Object.entries(DEFAULT_TIMING).map(([name, value]) => [
        name,
        ms.default(value).describe(TIMING_TEXTS[name as keyof typeof DEFAULT_TIMING])
      ])
    ) as {[K in keyof typeof DEFAULT_TIMING]: z.ZodDefault<z.ZodNumber>}
  )
  .describe("Times the protocol rests on, milliseconds; the same on all boxes")

export const settingsSchema = z
  .strictObject({
    box: z.string().min(1).describe("Name of the box, for logs"),
    dataCentre: z.string().min(1).describe("Data centre of the box"),
    kv: z
      .strictObject({
        endpoint: url.describe("Key-value service"),
        prefix: z.string().min(1).default("sedge/").describe("Prefix of all keys"),
        timeoutMs: ms
          .default(2_000)
          .describe("After this a call's answer counts as lost"),
        watchMs: ms.default(10_000).describe("A watch is asked for anew after this time")
      })
      .describe("The platform's key-value service"),
    platform: z
      .strictObject({
        boxList: url.describe("Box list"),
        pollMs: ms.default(1_000).describe("How often the box list is asked for"),
        weightStore: url
          .optional()
          .describe("Weight store; checked when a version is created"),
        loadsPerSecond: z
          .number()
          .positive()
          .default(2)
          .describe(
            "Loads a second the weight store serves at full speed, all boxes together"
          ),
        loadsAtOnce: positive.default(2).describe("Loads at once, all boxes together")
      })
      .describe("What the platform gives besides"),
    entry: z
      .strictObject({
        listen: address.describe("Where callers reach the entry"),
        ops: address.describe("Metrics, health and identity"),
        streamIdleMs: ms
          .default(10_000)
          .describe("A stream silent for so long is resumed, where its engine can"),
        maxInProgress: positive.default(512).describe("Requests in progress on the box"),
        maxBodyBytes: positive.default(1 << 20).describe("Larger bodies get 413"),
        headerTimeoutMs: ms.default(10_000).describe("Slower headers get 408"),
        bodyTimeoutMs: ms.default(30_000).describe("Slower bodies get 408"),
        patienceMs: z
          .strictObject({
            till: ms.default(5_000),
            merchant: ms.default(10_000),
            overnight: ms.default(120_000)
          })
          .prefault({})
          .describe("How long a request waits for an engine, by class"),
        drainMs: ms
          .default(5_000)
          .describe("After a stop is asked for, new requests are taken for so long")
      })
      .optional(),
    keeper: z
      .strictObject({
        listen: address.describe("Where the keeper listens for entries"),
        advertise: address
          .optional()
          .describe("Where entries reach it, when that differs from listen"),
        ops: address.describe("Metrics, health and identity"),
        orderTimeoutMs: ms.default(2_000).describe("Orders to engines but loads")
      })
      .optional(),
    admin: z
      .strictObject({
        listen: address.describe("Where operators reach the administration API"),
        ops: address.describe("Metrics, health and identity"),
        bootstrapKeyHash: z
          .string()
          .regex(/^[0-9a-f]{64}$/)
          .optional()
          .describe("SHA-256 of the key that may act while no operator is configured"),
        cellSize: positive.default(16).describe("Engines that one keeper owns together")
      })
      .optional(),
    peers: z
      .array(address)
      .default([])
      .describe("Keepers an entry links to when it starts in an outage of the service"),
    registerShards: positive
      .max(64)
      .default(2)
      .describe("Shards of the at-most-once register; the same on all boxes"),
    timing: timing.prefault({}),
    log: z
      .strictObject({
        level: z.enum(["debug", "info", "warn", "error"]).default("info")
      })
      .prefault({})
  })
  .describe("Settings of a box")

export type Settings = z.infer<typeof settingsSchema>
export type Role = "entry" | "keeper" | "admin"
