/** Valid requests in unusual forms. Guards against requests that end without a status. */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {HEADER} from "../platform/words.js"
import {type BedBox, HOST, PlatformBed} from "./support/platform-bed.js"
import {callRaw, type RawAnswer} from "./support/raw-http.js"

/** Longer than the deadline of the requests. */
const PATIENCE_MS = 4_000

let count = 0

/** Returns the bytes of a request whose `lines` follow the usual ones. */
function requestOf(
  target: string,
  lines: readonly string[] = [],
  {method = "GET", host = `host: ${HOST}`, version = "1.1", body = ""} = {}
): string {
  const head = [
    `${method} ${target} HTTP/${version}`,
    host,
    `${HEADER.request}: odd-${++count}`,
    `${HEADER.deadline}: 3000`,
    ...lines
  ].filter(line => line !== "")
  return `${head.join("\r\n")}\r\n\r\n${body}`
}

const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
const CLOSE = "connection: close"
const post = {method: "POST", body: "{}"}
const LENGTH = "content-length: 2"

const SERVED: Readonly<Record<string, string>> = {
  "a target with its host": requestOf(`http://${HOST}/safe/x`, [CLOSE]),
  "a host in capital letters": requestOf("/safe/x", [CLOSE], {
    host: `HOST: ${HOST.toUpperCase()}:80`
  }),
  "a broken percent sign": requestOf("/safe/%zz", [CLOSE]),
  "a long target": requestOf(`/safe/x?${"y".repeat(8_000)}`, [CLOSE]),
  "an upgrade": requestOf("/safe/x", [
    "connection: upgrade, close",
    "upgrade: websocket"
  ]),
  "an upgrade to HTTP/2": requestOf("/safe/x", [
    "connection: upgrade, http2-settings, close",
    "upgrade: h2c",
    "http2-settings: AAMAAABkAAQCAAAAAAIAAAAA"
  ]),
  "an upgrade alone": requestOf("/safe/x", [CLOSE, "upgrade: websocket"]),
  "a connection header with names": requestOf("/safe/x", [
    "connection: x-a, close",
    "x-a: 1"
  ]),
  "two connection headers": requestOf("/safe/x", ["connection: x-a", CLOSE, "x-a: 1"]),
  "keep-alive": requestOf("/safe/x", [CLOSE, "keep-alive: timeout=5, max=9"]),
  "proxy-connection": requestOf("/safe/x", [CLOSE, "proxy-connection: keep-alive"]),
  "te and trailer": requestOf("/safe/x", [CLOSE, "te: trailers", "trailer: x-sum"]),
  "a body that is expected": requestOf(
    "/unsafe/x",
    [CLOSE, LENGTH, "expect: 100-continue"],
    post
  ),
  "chunks with trailers": requestOf(
    "/unsafe/x",
    [CLOSE, "transfer-encoding: chunked", "trailer: x-sum"],
    {method: "POST", body: "2;a=b\r\n{}\r\n0\r\nx-sum: 1\r\n\r\n"}
  ),
  "a GET with a body": requestOf("/safe/x", [CLOSE, LENGTH], {body: "{}"}),
  "a GET with a length of 0": requestOf("/safe/x", [CLOSE, "content-length: 0"]),
  "a GET with empty chunks": requestOf("/safe/x", [CLOSE, "transfer-encoding: chunked"], {
    body: "0\r\n\r\n"
  }),
  "a POST without a body": requestOf("/unsafe/x", [CLOSE], {method: "POST"}),
  "a DELETE with a body": requestOf("/unsafe/x", [CLOSE, LENGTH], {
    ...post,
    method: "DELETE"
  }),
  "an OPTIONS": requestOf("/safe/x", [CLOSE], {method: "OPTIONS"}),
  "a PROPFIND": requestOf("/unsafe/x", [CLOSE], {method: "PROPFIND"}),
  "HTTP/1.0": requestOf("/safe/x", [], {version: "1.0"}),
  "bytes beyond ASCII in a header": requestOf("/safe/x", [CLOSE, "x-a: \u00fc\u00e9"]),
  "an empty header": requestOf("/safe/x", [CLOSE, "x-a:"]),
  "a header twice": requestOf("/safe/x", [
    CLOSE,
    "x-a: 1",
    "x-a: 2",
    "cookie: a",
    "cookie: b"
  ]),
  "a deadline that is none": requestOf("/safe/x", [CLOSE, `${HEADER.deadline}: soon`]),
  "token counts that are none": requestOf("/safe/x", [CLOSE, `${HEADER.usage}: many,-1`]),
  "parts that are none": requestOf("/safe/x", [CLOSE, `${HEADER.prompt}: ,,:,a:b:c,:9`]),
  "many parts": requestOf("/safe/x", [
    CLOSE,
    `${HEADER.prompt}: ${Array.from({length: 2_000}, (_, i) => `p${i}:9`).join()}`
  ])
}

const REFUSED: Readonly<Record<string, string>> = {
  "no host": requestOf("/safe/x", [CLOSE], {host: ""}),
  "an empty host": requestOf("/safe/x", [CLOSE], {host: "host:"}),
  "HTTP/1.0 without a host": requestOf("/safe/x", [], {host: "", version: "1.0"}),
  "a target of all": requestOf("*", [CLOSE], {method: "OPTIONS"}),
  "an unknown method": requestOf("/safe/x", [CLOSE], {method: "FETCH"}),
  "bytes beyond ASCII in the target": requestOf("/safe/\u00fc", [CLOSE]),
  "a space in the target": requestOf("/safe/a b", [CLOSE]),
  "a length and chunks": requestOf(
    "/unsafe/x",
    [CLOSE, LENGTH, "transfer-encoding: chunked"],
    post
  ),
  "two lengths": requestOf("/unsafe/x", [CLOSE, LENGTH, "content-length: 3"], post),
  "an unknown coding": requestOf("/unsafe/x", [CLOSE, "transfer-encoding: gzip"], post),
  "an unknown expectation": requestOf("/unsafe/x", [CLOSE, LENGTH, "expect: more"], post)
}

/** Resolves to no text if no answer comes. */
function call({callers}: BedBox, request: string): Promise<RawAnswer> {
  const silence: RawAnswer = {text: "", end: "closed"}
  return Promise.race([
    callRaw(callers, request),
    sleep(PATIENCE_MS, silence, {ref: false})
  ])
}

t.test("requests in unusual forms get an answer or a refusal", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes as [BedBox]
  for (const [name, request] of Object.entries(SERVED)) {
    const {text} = await call(box, request)
    t.match(text.replace(CONTINUE, "").split("\r\n")[0], /^HTTP\/1.1 200/, name)
  }
  for (const [name, request] of Object.entries(REFUSED)) {
    const {text} = await call(box, request)
    t.match(text.split("\r\n")[0], /^HTTP\/1.1 4\d\d/, name)
  }
  t.notOk(box.child.ended, "the process goes on")
  t.notMatch(bed.logs(), /"event":193,|"event":223,/, "no server counts as broken")
})
