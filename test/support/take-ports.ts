/** Takes as many free ports as its argument says, tells them, and stays until it is ended. */
import {freePort} from "./ports.js"

const ports: number[] = []
while (ports.length < Number(process.argv[2])) ports.push(await freePort())
process.send?.(ports)
