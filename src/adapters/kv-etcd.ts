/** A client of the key-value service through the JSON gateway of the etcd v3 API. */
import {request, type Dispatcher, Agent} from "undici"
import {KvRefused, KvUnavailable, KvUnknown} from "../errors.js"
import type {
  KvChange,
  KvEntry,
  KvPutOptions,
  KvPutResult,
  KvStore
} from "../ports/ports.js"
import type {StorePosition} from "../types/store-position.js"
import {limitTime} from "../utils/time-limit.js"
import {readAnswerText} from "./answer-text.js"

export interface EtcdOptions {
  /** Base URL, `http://host:port`. */
  readonly endpoint: string
  readonly timeoutMs: number
  /** A watch is renewed after this time, so that a half-open connection is noticed. */
  readonly watchMs: number
}

interface EtcdKeyValue {
  readonly key: string
  readonly value?: string
  readonly mod_revision: string
}

interface EtcdRange {
  readonly header?: {readonly revision?: string}
  readonly kvs?: readonly EtcdKeyValue[]
}

interface EtcdTxn {
  readonly header?: {readonly revision?: string}
  readonly succeeded?: boolean
  readonly responses?: readonly {readonly response_range?: EtcdRange}[]
}

interface EtcdWatchLine {
  readonly result?: {
    readonly canceled?: boolean
    readonly events?: readonly {readonly type?: string; readonly kv: EtcdKeyValue}[]
  }
}

export function connectEtcd(options: EtcdOptions): KvStore {
  return new EtcdStore(options)
}

class EtcdStore implements KvStore {
  private readonly agent = new Agent({connections: 8, keepAliveTimeout: 10_000})

  constructor(private readonly options: EtcdOptions) {}

  async get(key: string): Promise<KvEntry | undefined> {
    const range = await this.call<EtcdRange>("/v3/kv/range", {key: encode(key)})
    return range.kvs?.map(toEntry)[0]
  }

  async list(prefix: string, after?: string) {
    const key = encode(after === undefined ? prefix : `${after}\0`)
    const range = await this.call<EtcdRange>("/v3/kv/range", {
      key,
      range_end: encode(endOfPrefix(prefix))
    })
    const revision = Number(range.header?.revision ?? 0)
    return {entries: range.kvs?.map(toEntry) ?? [], revision}
  }

  async put(
    key: string,
    value: string,
    {expectRevision, lease}: KvPutOptions = {}
  ): Promise<KvPutResult> {
    const change = {key: encode(key), value: encode(value), ...(lease && {lease})}
    const compare = {
      key: encode(key),
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(expectRevision)
    }
    const txn = await this.call<EtcdTxn>("/v3/kv/txn", {
      ...(expectRevision !== undefined && {compare: [compare]}),
      success: [{request_put: change}],
      failure: [{request_range: {key: encode(key)}}]
    })
    if (txn.succeeded) return {ok: true, revision: Number(txn.header?.revision)}
    return {ok: false, current: txn.responses?.[0]?.response_range?.kvs?.map(toEntry)[0]}
  }

  async remove(key: string): Promise<void> {
    await this.call("/v3/kv/deleterange", {key: encode(key)})
  }

  async removeRange(from: string, to: string): Promise<void> {
    await this.call("/v3/kv/deleterange", {key: encode(from), range_end: encode(to)})
  }

  async grantLease(ttlMs: number): Promise<string> {
    const {ID} = await this.call<{ID: string}>("/v3/lease/grant", {
      TTL: String(Math.ceil(ttlMs / 1000))
    })
    return ID
  }

  async keepAlive(lease: string): Promise<boolean> {
    const answer = await this.call<{result?: {TTL?: string}}>("/v3/lease/keepalive", {
      ID: lease
    })
    return Number(answer.result?.TTL ?? 0) > 0
  }

  async revokeLease(lease: string): Promise<void> {
    await this.call("/v3/lease/revoke", {ID: lease})
  }

  async watch(
    prefix: string,
    after: StorePosition,
    onChange: (change: KvChange) => void,
    signal: AbortSignal
  ): Promise<StorePosition> {
    const limit = limitTime(this.options.watchMs, signal)
    let lastRevision = after.revision
    const record = (change: KvChange): void => {
      lastRevision = Math.max(lastRevision, change.revision)
      onChange(change)
    }
    try {
      await this.readWatch(prefix, after.revision, record, limit.signal)
    } catch (cause) {
      if (!limit.hasExpired() && !signal.aborted) throw cause
    } finally {
      limit.clear()
    }
    return {revision: lastRevision}
  }

  private async readWatch(
    prefix: string,
    afterRevision: number,
    onChange: (change: KvChange) => void,
    signal: AbortSignal
  ): Promise<void> {
    const body = {
      create_request: {
        key: encode(prefix),
        range_end: encode(endOfPrefix(prefix)),
        start_revision: String(afterRevision + 1)
      }
    }
    const answer = await this.post("/v3/watch", body, signal)
    if (answer.statusCode !== 200) {
      await answer.body.dump()
      throw new KvRefused(
        `key-value service rejected the watch with status ${answer.statusCode}`
      )
    }
    let partialLine = ""
    for await (const chunk of answer.body.setEncoding("utf8")) {
      const lines = (partialLine + String(chunk)).split("\n")
      partialLine = lines.pop() ?? ""
      for (const line of lines) if (line !== "") handleWatchLine(line, onChange)
    }
  }

  private async call<T>(path: string, body: object): Promise<T> {
    let answer: Dispatcher.ResponseData
    try {
      answer = await this.post(path, body, AbortSignal.timeout(this.options.timeoutMs))
    } catch (cause) {
      throw classify(cause as NodeJS.ErrnoException)
    }
    try {
      const text = await readAnswerText(answer.body)
      // With status 429 or 503 the service has not executed the call.
      if (answer.statusCode === 429 || answer.statusCode === 503) {
        throw new KvRefused(`refused with ${answer.statusCode}`)
      }
      if (answer.statusCode !== 200) throw new KvUnknown(`answered ${answer.statusCode}`)
      return JSON.parse(text) as T
    } catch (cause) {
      if (cause instanceof KvUnavailable) throw cause
      throw new KvUnknown(`answer lost: ${(cause as Error).message}`)
    }
  }

  private post(path: string, body: object, signal: AbortSignal) {
    return request(this.options.endpoint + path, {
      method: "POST",
      headers: {"content-type": "application/json"},
      body: JSON.stringify(body),
      dispatcher: this.agent,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal
    })
  }
}

/** A call was certainly not executed only if no connection was established. */
function classify(cause: NodeJS.ErrnoException): Error {
  if (cause.code === "ECONNREFUSED" || cause.code === "UND_ERR_CONNECT_TIMEOUT") {
    return new KvUnavailable(cause.message)
  }
  return new KvUnknown(cause.message)
}

function handleWatchLine(line: string, onChange: (change: KvChange) => void): void {
  const {result} = JSON.parse(line) as EtcdWatchLine
  if (result?.canceled) throw new KvUnavailable("key-value service cancelled the watch")
  for (const {type, kv} of result?.events ?? []) {
    const {key, value, revision} = toEntry(kv)
    onChange(type === "DELETE" ? {key, revision} : {key, value, revision})
  }
}

function toEntry({key, value, mod_revision}: EtcdKeyValue): KvEntry {
  return {key: decode(key), value: decode(value ?? ""), revision: Number(mod_revision)}
}

function encode(text: string): string {
  return Buffer.from(text).toString("base64")
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString()
}

/** Returns the first key after all keys with the prefix. */
function endOfPrefix(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1)
  return prefix.slice(0, -1) + String.fromCharCode(last + 1)
}
