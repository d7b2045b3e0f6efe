/** Command line of the processes of a box. */
import {cac} from "cac"
import {
  createContext,
  type ProcessContext,
  type RunningProcess
} from "../adapters/process.js"
import {readSettings} from "../adapters/settings-file.js"
import {SettingsError} from "../errors.js"
import type {Role, Settings} from "../types/settings.js"
import {VERSION} from "../version.js"

/** Exit codes, as documented in docs/operators/running.md. */
const EXIT_CRASHED = 1
const EXIT_BAD_SETTINGS = 2

interface Flags {
  readonly settings?: string
}

/** Parses the arguments and runs the process until it ends. */
export function runProcess(
  role: Role,
  start: (context: ProcessContext) => Promise<RunningProcess>
): void {
  const cli = cac(`sedge-${role}`)
  cli.option("--settings <file>", "Settings of the box, JSON")
  cli
    .command("check-settings", "Check the settings and report all findings")
    .action((flags: Flags) => {
      loadSettings(flags, role)
      console.log("settings are valid")
    })
  cli.command("", `Run the ${role} of a box`).action(async (flags: Flags) => {
    await runUntilEnd(loadSettings(flags, role), role, start)
  })
  cli.help()
  cli.version(VERSION)
  cli.parse()
}

function loadSettings({settings}: Flags, role: Role): Settings {
  try {
    if (settings === undefined) {
      throw new SettingsError([
        {place: "", message: "the option --settings FILE is missing"}
      ])
    }
    return readSettings(settings, role)
  } catch (cause) {
    if (!(cause instanceof SettingsError)) throw cause
    for (const {place, message} of cause.findings)
      console.error(`${place || "/"}: ${message}`)
    process.exit(EXIT_BAD_SETTINGS)
  }
}

async function runUntilEnd(
  settings: Settings,
  role: Role,
  start: (context: ProcessContext) => Promise<RunningProcess>
): Promise<void> {
  const context = createContext(settings, role)
  try {
    const running = await start(context)
    process.on("SIGTERM", running.stop)
    process.on("SIGINT", running.stop)
    await running.ended
    process.exit(0)
  } catch (cause) {
    context.log("crashed", {reason: (cause as Error).stack ?? String(cause)})
    process.exit(EXIT_CRASHED)
  }
}
