/** How a process makes itself known in the key-value service. */
import type {KvStore} from "../ports/ports.js"
import {backoffMs} from "../utils/backoff.js"
import type {Timing} from "../core/timing.js"
import {clockNow} from "./clock.js"

const FIRST_RETRY_MS = 250
const LONGEST_RETRY_MS = 4_000

export interface LeaseEvents {
  /** The lease was valid when the call was sent. */
  readonly renewed: (sentAt: number) => void
  readonly lost: () => void
}

/** Keeps a lease with one key, and gets a new lease when the service knows it no more. */
export class LeasedKey {
  private lease_ = ""
  private stopped_ = false

  constructor(
    private readonly kv_: KvStore,
    private readonly key_: string,
    private readonly value_: string,
    private readonly timing_: Timing,
    private readonly events_: LeaseEvents
  ) {}

  async run(): Promise<void> {
    let failures = 0
    while (!this.stopped_) {
      let pause = this.timing_.renewMs
      try {
        await this.beat()
        failures = 0
      } catch {
        pause = backoffMs(++failures, FIRST_RETRY_MS, this.timing_.renewMs)
        // The lease is kept as it is; the monotonic clock says how long it counts.
      }
      await new Promise(done => setTimeout(done, pause))
    }
  }

  /** Gives the lease back, so that nobody waits for it to lapse. */
  async stop(): Promise<void> {
    this.stopped_ = true
    if (this.lease_ !== "") await this.kv_.revokeLease(this.lease_)
  }

  private async beat(): Promise<void> {
    const sentAt = clockNow()
    if (this.lease_ !== "") {
      if (await this.kv_.keepAlive(this.lease_)) return this.events_.renewed(sentAt)
      this.lease_ = ""
      this.events_.lost()
    }
    const lease = await this.kv_.grantLease(this.timing_.leaseTtlMs)
    await this.kv_.put(this.key_, this.value_, {lease})
    this.lease_ = lease
    this.events_.renewed(sentAt)
  }
}

/** Writes a key that stays until it is removed; tries until the service takes it. */
export async function registerKey(
  kv: KvStore,
  key: string,
  value: string,
  signal: AbortSignal
): Promise<void> {
  for (let failures = 1; !signal.aborted; failures++) {
    try {
      await kv.put(key, value)
      return
    } catch {
      const pauseMs = backoffMs(failures, FIRST_RETRY_MS, LONGEST_RETRY_MS)
      await new Promise(done => setTimeout(done, pauseMs))
    }
  }
}
