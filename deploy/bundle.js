/**
 * Bundles the program of a box for the platform. Two files load in half the time of the
 * hundreds of separate modules.
 */
import {build} from "esbuild"

// CommonJS packages call `require`, which is not defined in ES modules.
const REQUIRE = `import {createRequire as makeRequire} from "node:module"
const require = makeRequire(import.meta.url)`

await build({
  entryPoints: {box: "platform/start.ts"},
  outdir: "target",
  outExtension: {".js": ".mjs"},
  splitting: true,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  banner: {js: REQUIRE},
  alias: {
    undici: "./deploy/undici.js",
    "hdr-histogram-js": "./deploy/hdr-histogram.js"
  },
  logLevel: "warning"
})
