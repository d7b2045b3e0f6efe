/** Registers processes in the key-value service. */
import type {KvStore} from "../ports/ports.js"
import {backoffMs} from "../utils/backoff.js"
import type {Timing} from "../core/timing.js"
import {clockNow} from "./clock.js"

const FIRST_RETRY_MS = 250
const LONGEST_RETRY_MS = 4_000

export interface LeaseEvents {
  /** The lease was valid when the renewal was sent (monotonic clock). */
  readonly renewed: (sentAt: number) => void
  readonly lost: () => void
}

/** Keeps a key alive with a lease, and obtains a new lease when the old one expires. */
export class LeasedKey {
  private lease_ = ""
  private isStopped_ = false

  constructor(
    private readonly kv_: KvStore,
    private readonly key_: string,
    private readonly value_: string,
    private readonly timing_: Timing,
    private readonly events_: LeaseEvents
  ) {}

  async run(): Promise<void> {
    let failures = 0
    while (!this.isStopped_) {
      let pauseMs = this.timing_.renewMs
      try {
        await this.renew()
        failures = 0
      } catch {
        pauseMs = backoffMs(++failures, FIRST_RETRY_MS, this.timing_.renewMs)
        // The lease is kept. The holder's monotonic clock decides how long it is valid.
      }
      await new Promise(done => setTimeout(done, pauseMs))
    }
  }

  /** Revokes the lease, so that other processes need not wait for its expiry. */
  async stop(): Promise<void> {
    this.isStopped_ = true
    if (this.lease_ !== "") await this.kv_.revokeLease(this.lease_)
  }

  private async renew(): Promise<void> {
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

/** Writes a key without a lease, with retries until the key-value service accepts it. */
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
