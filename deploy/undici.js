/**
 * The parts of `undici` that a box's program uses. The package's own entry also loads what browsers
 * have (fetch, cookies, caches, mocks), a quarter of the processor time of a start.
 */
import api from "../node_modules/undici/lib/api/index.js"
import buildConnector from "../node_modules/undici/lib/core/connect.js"
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js"
import Pool from "../node_modules/undici/lib/dispatcher/pool.js"

// As the package's entry does: pools get their calls from there.
Object.assign(Dispatcher.prototype, api)

export {buildConnector, Dispatcher, Pool}
