/** Invalid input gets a clear error, and the process keeps serving other requests. */
import {connect} from "node:net"
import {request} from "undici"
import t from "tap"
import {callModel} from "./support/caller.js"
import {agent, Deployment, keyOf} from "./support/deployment.js"
import {until} from "./support/wait.js"

t.test("invalid input is refused, and the entry keeps serving", async t => {
  const deployment = await Deployment.start({
    organisations: ["cotejo", "tatrapay"],
    serviceMembers: 1,
    entry: {maxBodyBytes: 10_000, headerTimeoutMs: 600, bodyTimeoutMs: 600}
  })
  t.teardown(() => deployment.stop())
  const [model = ""] = deployment.models
  const entry = deployment.boxes[0]?.entryAddress ?? ""

  const send = async (
    body: string,
    headers: Record<string, string> = {},
    path = "/v1/completions"
  ) => {
    const answer = await request(`http://${entry}${path}`, {
      method: "POST",
      headers: {authorization: `Bearer ${keyOf("cotejo")}`, ...headers},
      body,
      dispatcher: agent
    })
    const problem = (await answer.body.json()) as Record<string, unknown>
    return {...problem, status: answer.statusCode, type: answer.headers["content-type"]}
  }
  const bodyOf = (fields: object) => JSON.stringify({model, max_tokens: 2, ...fields})

  t.match(await send("{"), {
    status: 400,
    code: "bad-json",
    outcome: "not-run",
    type: "application/problem+json"
  })
  t.match(await send(bodyOf({model: 3, max_tokens: "x"})), {
    code: "bad-request",
    findings: [{place: "/model"}, {place: "/max_tokens"}]
  })
  t.match(await send(bodyOf({model: "base-a/base-a-a0@9"})), {
    status: 404,
    code: "unknown-model"
  })
  t.match(await send(bodyOf({model: "nonsense"})), {status: 404, code: "unknown-model"})
  t.match(
    await send(bodyOf({model: "base-a/base-a-a1@1"})),
    {status: 404, code: "unknown-model"},
    "the existence of another organisation's adapter is not disclosed"
  )
  t.match(await send(bodyOf({prompt: "x".repeat(20_000)})), {
    status: 413,
    code: "body-too-large"
  })
  t.match(await send(bodyOf({}), {authorization: "Bearer wrong"}), {status: 401})
  t.match(await send(bodyOf({}), {"x-sedge-class": "soon"}), {
    status: 400,
    code: "bad-request"
  })
  t.match(await send(bodyOf({}), {"x-sedge-deadline-ms": "-1"}), {status: 400})
  t.match(await send(bodyOf({}), {}, "/v1/nothing"), {status: 404, code: "not-found"})
  t.match(await send(bodyOf({}), {}, "/services/nothing/x"), {
    status: 404,
    code: "not-found"
  })

  const key = {"idempotency-key": "letter-1"}
  t.match(await send(bodyOf({}), key), {status: 200}, "the first use of a key runs")
  t.match(await send(bodyOf({}), key), {status: 409, code: "key-answered"})
  t.match(await send(bodyOf({prompt: "other"}), key), {status: 422, code: "key-reused"})

  t.match(await sendRaw(entry, "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"), /408/)
  t.match(await sendRaw(entry, "nonsense\r\n\r\n"), /400 Bad Request/)

  const disconnect = new AbortController()
  const slow = callModel({
    entry,
    model,
    organisation: "cotejo",
    tokens: 5000,
    signal: disconnect.signal
  })
  await until("the request runs", async () => {
    const metrics = await request(`http://${deployment.boxes[0]?.entryOps}/metrics`)
    return /sedge_requests_in_progress 1/.test(await metrics.body.text())
  })
  disconnect.abort()
  t.match(await slow, {kind: "cut"})
  await until("the disconnect ended the request", async () => {
    const metrics = await request(`http://${deployment.boxes[0]?.entryOps}/metrics`)
    return /sedge_requests_in_progress 0/.test(await metrics.body.text())
  })
  t.match(await callModel({entry, model, organisation: "cotejo"}), {kind: "answered"})
})

/** Sends raw bytes and returns what arrives until the other side closes. */
function sendRaw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(":")
  return new Promise((resolve, reject) => {
    const socket = connect({host: host ?? "", port: Number(port)})
    let text = ""
    socket.on("data", chunk => (text += chunk.toString()))
    socket.on("close", () => resolve(text))
    socket.on("error", reject)
    socket.write(bytes)
  })
}
