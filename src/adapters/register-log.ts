/**
 * The durable log of a register shard, in numbered buckets with a single writer. A new
 * owner seals the last bucket and creates the next one, so that a late write of the
 * previous owner fails in both. This needs only compare-and-swap of single keys.
 */
import {KvUnavailable} from "../errors.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {RegisterLine} from "../core/register.js"
import {KEYS} from "./platform-mirror.js"

/** Limits the size of writes, as each write contains the whole bucket. */
const BUCKET_LINES = 400
const BUCKET_DIGITS = 10

interface Bucket {
  readonly fence: number
  readonly sealedBy?: number
  /** Counts the owner's writes. Shows after a lost answer which write took effect. */
  readonly write: number
  readonly lines: readonly RegisterLine[]
}

/** Another owner has sealed the log. */
export class RegisterSealed extends Error {
  override readonly name = "RegisterSealed"
}

export class RegisterLog {
  private bucket_ = 0
  private revision_ = 0
  private write_ = 0
  private lines_: readonly RegisterLine[] = []
  /** Time of the newest line of each stored bucket (Unix time, ms). */
  private readonly newestLineAt_ = new Map<number, number>()

  constructor(
    private readonly kv_: KvStore,
    private readonly prefix_: string,
    private readonly shard_: string,
    readonly fence: number,
    private readonly retentionMs_: number
  ) {}

  /** Reads and seals earlier owners' buckets. Rejects if the key-value service fails. */
  async open(): Promise<RegisterLine[]> {
    for (;;) {
      const {entries} = await this.kv_.list(this.shardPrefix())
      const buckets = entries.map(entry => ({entry, bucket: parseBucket(entry)}))
      const last = buckets.at(-1)
      const highest = Math.max(
        0,
        ...buckets.map(({bucket}) => bucket.sealedBy ?? bucket.fence)
      )
      if (highest > this.fence) throw new RegisterSealed(this.shard_)
      if (last && !(await this.seal(last.entry, last.bucket))) continue
      const next = last ? bucketNumber(last.entry) + 1 : 1
      if (!(await this.createBucket(next))) continue
      for (const {entry, bucket} of buckets)
        this.recordNewestLine(bucketNumber(entry), bucket.lines)
      return buckets.flatMap(({bucket}) => bucket.lines)
    }
  }

  /** Appends lines. Resolves when they are durable. */
  async append(lines: readonly RegisterLine[]): Promise<void> {
    if (this.lines_.length + lines.length > BUCKET_LINES && this.lines_.length > 0) {
      await this.startBucket(lines)
    } else {
      await this.write([...this.lines_, ...lines])
    }
    this.recordNewestLine(this.bucket_, this.lines_)
    await this.removeExpired().catch(() => undefined)
  }

  private async startBucket(lines: readonly RegisterLine[]): Promise<void> {
    const number = this.bucket_ + 1
    const bucket: Bucket = {fence: this.fence, write: ++this.write_, lines}
    const revision = await this.putOwn(this.keyOf(number), bucket, 0)
    this.bucket_ = number
    this.revision_ = revision
    this.lines_ = lines
  }

  private async write(lines: readonly RegisterLine[]): Promise<void> {
    const bucket: Bucket = {fence: this.fence, write: ++this.write_, lines}
    this.revision_ = await this.putOwn(this.keyOf(this.bucket_), bucket, this.revision_)
    this.lines_ = lines
  }

  /** Writes a bucket as its only writer. Reads it after a lost answer or a conflict. */
  private async putOwn(
    key: string,
    bucket: Bucket,
    expectRevision: number
  ): Promise<number> {
    let current: KvEntry | undefined
    try {
      const result = await this.kv_.put(key, JSON.stringify(bucket), {expectRevision})
      if (result.ok) return result.revision
      current = result.current
    } catch (cause) {
      if (cause instanceof KvUnavailable) throw cause
      current = await this.kv_.get(key)
    }
    const found = current && parseBucket(current)
    if (!current || !found) {
      if (expectRevision === 0)
        throw new KvUnavailable(`register bucket ${key} was not created`)
      throw new RegisterSealed(this.shard_)
    }
    if (found.fence !== this.fence || found.sealedBy !== undefined) {
      throw new RegisterSealed(this.shard_)
    }
    if (found.write === bucket.write) return current.revision
    // The stored bucket is from an earlier write of this owner, whose answer was lost.
    if (current.revision === expectRevision)
      throw new KvUnavailable(`register bucket ${key} was not written`)
    return this.putOwn(key, bucket, current.revision)
  }

  private async seal(entry: KvEntry, bucket: Bucket): Promise<boolean> {
    if (bucket.sealedBy === this.fence) return true
    const sealed: Bucket = {...bucket, sealedBy: this.fence}
    const result = await this.kv_.put(entry.key, JSON.stringify(sealed), {
      expectRevision: entry.revision
    })
    return result.ok
  }

  private async createBucket(number: number): Promise<boolean> {
    const bucket: Bucket = {fence: this.fence, write: 0, lines: []}
    const key = this.keyOf(number)
    const result = await this.kv_.put(key, JSON.stringify(bucket), {expectRevision: 0})
    if (!result.ok) return false
    this.bucket_ = number
    this.revision_ = result.revision
    return true
  }

  private recordNewestLine(number: number, lines: readonly RegisterLine[]): void {
    this.newestLineAt_.set(number, Math.max(0, ...lines.map(line => line.at)))
  }

  /** Removes buckets whose newest line is older than the retention period. */
  private async removeExpired(): Promise<void> {
    const limit = Date.now() - this.retentionMs_
    for (const [number, newest] of [...this.newestLineAt_]) {
      if (number === this.bucket_ || newest > limit) continue
      await this.kv_.remove(this.keyOf(number))
      this.newestLineAt_.delete(number)
    }
  }

  private shardPrefix(): string {
    return `${this.prefix_}${KEYS.register}${this.shard_}/`
  }

  private keyOf(number: number): string {
    return this.shardPrefix() + String(number).padStart(BUCKET_DIGITS, "0")
  }
}

function parseBucket(entry: KvEntry): Bucket {
  return JSON.parse(entry.value) as Bucket
}

function bucketNumber(entry: KvEntry): number {
  return Number(entry.key.slice(-BUCKET_DIGITS))
}
