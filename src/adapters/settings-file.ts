/** Reads and validates settings files. All findings are reported together. */
import {readFileSync} from "node:fs"
import type {z} from "zod"
import {type Finding, SettingsError} from "../errors.js"
import {type RoutedSettings, routedSettingsSchema} from "../types/routed-settings.js"
import {type Role, type Settings, settingsSchema} from "../types/settings.js"

/** Returns the settings in a file, or throws a `SettingsError` with all findings. */
export function readSettings(file: string, role?: Role): Settings {
  return checkSettings(parseFile(file), role)
}

/** Validates parsed settings. */
export function checkSettings(value: unknown, role?: Role): Settings {
  const result = settingsSchema.safeParse(value)
  if (!result.success) throw new SettingsError(toFindings(result.error.issues))
  const findings = checkTiming(result.data)
  if (role && !result.data[role]) {
    findings.push({place: `/${role}`, message: `is needed by sedge-${role}`})
  }
  if (findings.length > 0) throw new SettingsError(findings)
  return result.data
}

/** Converts validation issues to findings with JSON pointers. */
export function toFindings(issues: readonly z.core.$ZodIssue[]): Finding[] {
  return issues.flatMap(issue => {
    if (issue.code !== "unrecognized_keys") {
      return [{place: toPointer(issue.path), message: issue.message}]
    }
    return issue.keys.map(key => ({
      place: toPointer([...issue.path, key]),
      message: "is not a known setting"
    }))
  })
}

/** Returns a routed box's settings, or throws a `SettingsError` with all findings. */
export function readRoutedSettings(file: string): RoutedSettings {
  const result = routedSettingsSchema.safeParse(parseFile(file))
  if (!result.success) throw new SettingsError(toFindings(result.error.issues))
  return result.data
}

function toPointer(path: readonly PropertyKey[]): string {
  return path
    .map(part => `/${String(part).replace(/~/g, "~0").replace(/\//g, "~1")}`)
    .join("")
}

/** Checks relations between the timing settings that the safety guarantees depend on. */
function checkTiming({timing}: Settings): Finding[] {
  const findings: Finding[] = []
  const must = (holds: boolean, name: string, message: string): void => {
    if (!holds) findings.push({place: `/timing/${name}`, message})
  }
  must(timing.leaseTtlMs % 1000 === 0, "leaseTtlMs", "must be whole seconds")
  must(
    timing.leaseMarginMs < timing.leaseTtlMs / 2,
    "leaseMarginMs",
    "must be less than half of leaseTtlMs"
  )
  must(
    timing.renewMs * 2 <= timing.leaseTtlMs - timing.leaseMarginMs,
    "renewMs",
    "must leave room for two renewals within the lease less its margin"
  )
  must(
    timing.linkSilenceMs >= 2 * timing.heartbeatMs,
    "linkSilenceMs",
    "must be at least twice heartbeatMs"
  )
  must(
    timing.entrySilentMs > timing.linkSilenceMs,
    "entrySilentMs",
    "must be more than linkSilenceMs"
  )
  must(
    timing.entryGoneMs > timing.ownerlessMs + timing.linkSilenceMs,
    "entryGoneMs",
    "must be more than ownerlessMs and linkSilenceMs together"
  )
  must(
    timing.requestMaxMs <= timing.entryGoneMs,
    "requestMaxMs",
    "must not be more than entryGoneMs"
  )
  return findings
}

function parseFile(file: string): unknown {
  let text: string
  try {
    text = readFileSync(file, "utf8")
  } catch (cause) {
    throw new SettingsError([{place: "", message: (cause as Error).message}])
  }
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new SettingsError([{place: "", message: (cause as Error).message}])
  }
}
