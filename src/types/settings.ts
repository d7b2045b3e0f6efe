/** The settings of a box, in one JSON file for all its processes. */
import * as z from "zod"
import {DEFAULT_TIMING, TIMING_DESCRIPTIONS} from "../core/timing.js"

export const socketAddress = z
  .string()
  .regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be an IP address and a port, as 10.0.0.1:8080"
  )
  .describe("IP address and port")
const url = z
  .string()
  .regex(
    /^http:\/\/[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be http:// with an IP address and a port"
  )
const address = socketAddress
const positive = z.number().int().positive()
export const positiveMs = positive
const ms = positiveMs

/** All times of `Timing`, optional, with their defaults. */
const timing = z
  .strictObject(
    Object.fromEntries(
      Object.entries(DEFAULT_TIMING).map(([name, value]) => [
        name,
        ms
          .default(value)
          .describe(TIMING_DESCRIPTIONS[name as keyof typeof DEFAULT_TIMING])
      ])
    ) as {[K in keyof typeof DEFAULT_TIMING]: z.ZodDefault<z.ZodNumber>}
  )
  .describe("Times of the ownership protocol (ms); must be the same on all boxes")

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
          .describe("Time after which the answer to a call counts as lost"),
        watchMs: ms.default(10_000).describe("Time after which a watch is renewed")
      })
      .describe("The platform's key-value service"),
    platform: z
      .strictObject({
        boxList: url.describe("Box list"),
        pollMs: ms.default(1_000).describe("Interval between requests for the box list"),
        weightStore: url
          .optional()
          .describe("Weight store; checked when a version is created"),
        loadsPerSecond: z
          .number()
          .positive()
          .default(2)
          .describe(
            "Loads per second that the weight store serves at full speed, over all boxes"
          ),
        loadsAtOnce: positive.default(2).describe("Concurrent loads, over all boxes")
      })
      .describe("Other services of the platform"),
    entry: z
      .strictObject({
        listen: address.describe("Address where callers connect to the entry"),
        ops: address.describe("Metrics, health and identity"),
        streamIdleMs: ms
          .default(10_000)
          .describe(
            "A stream without data for this time is resumed, if its engine supports it"
          ),
        maxInProgress: positive
          .default(512)
          .describe("Limit of requests in progress on the box"),
        maxBodyBytes: positive
          .default(1 << 20)
          .describe("Larger request bodies are answered with status 413"),
        headerTimeoutMs: ms
          .default(10_000)
          .describe("Slower request headers are answered with status 408"),
        bodyTimeoutMs: ms
          .default(30_000)
          .describe("Slower request bodies are answered with status 408"),
        patienceMs: z
          .strictObject({
            till: ms.default(5_000),
            merchant: ms.default(10_000),
            overnight: ms.default(120_000)
          })
          .prefault({})
          .describe("Longest wait of a request for an engine, by class"),
        drainMs: ms
          .default(5_000)
          .describe("How long new requests are accepted after a stop was requested")
      })
      .optional(),
    keeper: z
      .strictObject({
        listen: address.describe(
          "Address where the keeper accepts connections of entries"
        ),
        advertise: address
          .optional()
          .describe("Address where entries reach the keeper, if it differs from listen"),
        ops: address.describe("Metrics, health and identity"),
        orderTimeoutMs: ms
          .default(2_000)
          .describe("Timeout of orders to engines, except loads")
      })
      .optional(),
    admin: z
      .strictObject({
        listen: address.describe("Address of the administration API"),
        ops: address.describe("Metrics, health and identity"),
        bootstrapKeyHash: z
          .string()
          .regex(/^[0-9a-f]{64}$/)
          .optional()
          .describe(
            "SHA-256 of the key that is accepted while no operator is configured"
          ),
        cellSize: positive
          .default(16)
          .describe("Largest number of engines in a cell, which one keeper owns")
      })
      .optional(),
    peers: z
      .array(address)
      .default([])
      .describe(
        "Keepers that an entry connects to if the key-value service is down when it starts"
      ),
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
