/**
 * Bundles the program of a box for the platform. Two files load in half the time of the
 * hundreds of separate modules, and the code cache beside them saves most of the compiling.
 */
import {execFileSync} from "node:child_process"
import {fileURLToPath} from "node:url"
import {build} from "esbuild"
import {boxFlags} from "./box-flags.js"

/** Leaves out the HTTP/2 client of `undici`: the box's pools never offer that protocol. */
const withoutHttp2 = {
  name: "without-http2",
  setup({onLoad}) {
    onLoad({filter: /undici\/lib\/dispatcher\/client-h2\.js$/}, () => ({
      contents: `module.exports = () => { throw new Error("HTTP/2 is not supported") }`
    }))
  }
}

const options = {
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  logLevel: "warning"
}

await build({
  ...options,
  entryPoints: {box: "deploy/start-bundled.js"},
  format: "esm",
  outExtension: {".js": ".mjs"}
})
await build({
  ...options,
  entryPoints: {main: "platform/main.ts"},
  format: "cjs",
  outExtension: {".js": ".cjs"},
  charset: "ascii",
  define: {
    // Optional native modules of `ws`, which the bundle does not contain.
    "process.env.WS_NO_BUFFER_UTIL": '"1"',
    "process.env.WS_NO_UTF_8_VALIDATE": '"1"'
  },
  banner: {js: "(function (exports, require, module) {"},
  footer: {js: "})"},
  alias: {
    undici: "./deploy/undici.js",
    "hdr-histogram-js": "./deploy/hdr-histogram.js",
    // The entry point for Node.js looks for a native module, which the bundle does not contain.
    msgpackr: "./node_modules/msgpackr/index.js"
  },
  plugins: [withoutHttp2]
})

const writer = fileURLToPath(new URL("code-cache.js", import.meta.url))
execFileSync(process.execPath, [...boxFlags(), writer], {stdio: "inherit"})
