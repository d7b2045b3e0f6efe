/** Binds processes to processors, as `taskset` does. */
import {execFile} from "node:child_process"
import {promisify} from "node:util"

const run = promisify(execFile)

/** Command that binds processes, and starts bound ones. */
export const TASKSET = "taskset"

/**
 * Returns the processors that this process may use. Undefined where they can't be named or
 * processes can't be bound.
 */
export async function allowedProcessors(): Promise<readonly number[] | undefined> {
  try {
    const {stdout} = await run(TASKSET, ["-cp", String(process.pid)])
    const ranges = /: ([\d,-]+)\s*$/.exec(stdout)?.[1]?.split(",") ?? []
    const processors = ranges.flatMap(listRange)
    return processors.length > 0 ? processors : undefined
  } catch {
    return undefined
  }
}

function listRange(range: string): number[] {
  const [first = 0, last = first] = range.split("-").map(Number)
  return Array.from({length: last - first + 1}, (_, index) => first + index)
}

/** Binds all threads of a process. Does nothing if the process has ended. */
export async function bindProcess(
  pid: number,
  processors: readonly number[]
): Promise<void> {
  await run(TASKSET, ["-acp", processors.join(","), String(pid)]).catch(() => undefined)
}
