/** Bundles the box's program for the platform: one file starts in half the time of hundreds. */
import {build} from "esbuild"

// Packages in CommonJS form ask for `require`, which a module does not have by itself.
const REQUIRE = `import {createRequire as makeRequire} from "node:module"
const require = makeRequire(import.meta.url)`

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/box.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  banner: {js: REQUIRE},
  logLevel: "warning"
})
