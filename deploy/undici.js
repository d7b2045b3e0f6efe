/**
 * Exports the parts of `undici` that a box uses. The package's own entry point also loads
 * fetch, cookies, caches and mocks, which takes a quarter of the CPU time of a start.
 */
import api from "../node_modules/undici/lib/api/index.js"
import buildConnector from "../node_modules/undici/lib/core/connect.js"
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js"
import Client from "../node_modules/undici/lib/dispatcher/client.js"
import Pool from "../node_modules/undici/lib/dispatcher/pool.js"

// Adds `request` and the other calls to pools, as the package's own entry point does.
Object.assign(Dispatcher.prototype, api)

export {buildConnector, Client, Dispatcher, Pool}
