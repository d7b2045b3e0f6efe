/** Takes as many free ports as its argument says, tells them, and stays until it is ended. */
import {freePort} from "./ports.js"

// A process that listens to its parent lives until that ends it; what it holds alone does not keep it.
process.on("message", () => undefined)

const ports: number[] = []
while (ports.length < Number(process.argv[2])) ports.push(await freePort())
process.send?.(ports)
