/** The path of a request through all processes. */
import t from "tap"
import {callModel} from "./support/caller.js"
import {Deployment} from "./support/deployment.js"

t.test("a request is served end to end by separate processes", async t => {
  const deployment = await Deployment.start()
  t.teardown(() => deployment.stop())
  const [model = ""] = deployment.models
  const entry = deployment.boxes[0]?.entryAddress ?? ""
  const streamed = await callModel({entry, model, organisation: "cotejo", tokens: 5})
  t.match(streamed, {kind: "answered", model, tokens: 5})
  const whole = await callModel({
    entry,
    model,
    organisation: "cotejo",
    tokens: 3,
    stream: false
  })
  t.match(whole, {kind: "answered", model, tokens: 3})
  const chat = await callModel({
    entry,
    model,
    organisation: "cotejo",
    tokens: 3,
    chat: true
  })
  t.match(chat, {kind: "answered", model, tokens: 3})
})
