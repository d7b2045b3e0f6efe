/** Baseline relay, which only forwards requests and their answers. */
import {createServer} from "node:http"
import {Agent} from "undici"

const [, , port = "0", target = ""] = process.argv
const agent = new Agent()

const server = createServer((req, res) => {
  const chunks: Buffer[] = []
  req.on("data", chunk => chunks.push(chunk as Buffer))
  req.on("end", () => {
    agent.dispatch(
      {
        origin: target,
        path: req.url ?? "/",
        method: "POST",
        headers: {"content-type": "application/json"},
        body: Buffer.concat(chunks)
      },
      {
        onRequestStart: () => undefined,
        onResponseStart: (_controller, status, headers) => {
          res.writeHead(status, {"content-type": String(headers["content-type"])})
        },
        onResponseData: (controller, chunk) => {
          if (res.write(chunk)) return
          controller.pause()
          res.once("drain", () => controller.resume())
        },
        onResponseEnd: () => res.end(),
        onResponseError: () => res.destroy()
      }
    )
  })
})
server.listen(Number(port), "127.0.0.1", () => console.log("listening"))
