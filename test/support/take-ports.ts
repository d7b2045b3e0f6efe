/**
 * Reserves the number of ports in its argument, sends them to its parent and runs until
 * killed.
 */
import {freePort} from "./ports.js"

// The listener keeps the process alive until its parent ends it. The block of ports is held
// by an unreferenced server, which does not.
process.on("message", () => undefined)

const ports: number[] = []
while (ports.length < Number(process.argv[2])) ports.push(await freePort())
process.send?.(ports)
