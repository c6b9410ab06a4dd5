/**
 * Reads the settings file again when it is asked to and when the file has changed. What may change in a running process
 * counts at once; everything else counts from the next start.
 * @module
 */
import { stat } from 'node:fs/promises'
import type { Condition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { type FleetSettings, readFleetSettings } from './fleetSettings.ts'

/** Time between two looks at the settings file, in milliseconds: the file may change without a signal. */
export const settingsLookMs = 2_000

/** Settings that are read at each use. */
const reloadable: ReadonlySet<string> = new Set(['seeds', 'regions', 'heartbeatMs', 'graceSeconds', 'statusKeepSeconds'])

/** What the task needs. */
export interface SettingsReload {
  /** The settings file; without one only what is asked for is read, from the flags. */
  readonly path: string | undefined
  readonly flags: Readonly<Record<string, unknown>>
  /** The settings in use; fields that may change are replaced. */
  readonly settings: FleetSettings
  /** Notified to read the file again although it has not changed. */
  readonly requested: Condition
  readonly logger: Logger
}

/**
 * Runs until the signal aborts.
 * @param reload - what the task needs
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runSettingsReload (reload: SettingsReload, signal: AbortSignal): Promise<void> {
  const { path, requested } = reload
  let known = await versionOf(path)
  while (!signal.aborted) {
    const isRequested = await requested.wait(settingsLookMs, signal)
    if (signal.aborted) return
    const version = await versionOf(path)
    if (!isRequested && version === known) continue
    known = version
    readAgain(reload)
  }
}

function readAgain ({ path, flags, settings, logger }: SettingsReload): void {
  const read = readFleetSettings(path, flags)
  if (read.isErr()) {
    logger.write(LogEvents.settingsRefused, { detail: read.error.join('; ') })
    return
  }
  const applied: string[] = []
  const pending: string[] = []
  const changed: Record<string, unknown> = {}
  for (const [name, value] of Object.entries(read.value)) {
    if (JSON.stringify(value) === JSON.stringify(settings[name as keyof FleetSettings])) continue
    if (!reloadable.has(name)) {
      pending.push(name)
      continue
    }
    applied.push(name)
    changed[name] = value
  }
  Object.assign(settings, changed)
  logger.write(LogEvents.settingsReread, { inputs: { applied: applied.join(' '), fromNextStart: pending.join(' ') } })
}

/** A file that is replaced has another inode, one that is written in place another time or size. */
async function versionOf (path: string | undefined): Promise<string> {
  if (path === undefined) return ''
  try {
    const { ino, size, mtimeMs } = await stat(path)
    return `${ino}/${size}/${mtimeMs}`
  } catch {
    // A file that is missing for a moment while it is replaced counts as one more version, which is refused with a log line.
    return 'missing'
  }
}
