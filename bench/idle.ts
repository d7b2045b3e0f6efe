/** Idle Node.js process, to measure the baseline cost of the runtime. */
setInterval(() => undefined, 60_000)
console.log("running")
