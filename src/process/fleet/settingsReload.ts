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

/** Time between two looks at the settings file, in milliseconds: within the bound for a configuration on the first sites (2.5 s). */
export const settingsCheckIntervalMs = 2_000

/** Settings that may change in a running process: their users read them at each use. */
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
  let known = await identifyContent(path)
  while (!signal.aborted) {
    const isRequested = await requested.wait(settingsCheckIntervalMs, signal)
    if (signal.aborted) return
    const content = await identifyContent(path)
    if (!isRequested && content === known) continue
    known = content
    readAgain(reload)
  }
}

function readAgain ({ path, flags, settings, logger }: SettingsReload): void {
  const read = readFleetSettings(path, flags)
  if (read.isErr()) {
    logger.write(LogEvents.settingsRefused, { detail: read.error.join('; ') })
    return
  }
  const changed = listChanged(settings, read.value)
  const applied = changed.filter(([name]) => reloadable.has(name))
  const fromNextStart = changed.filter(([name]) => !reloadable.has(name))
  Object.assign(settings, Object.fromEntries(applied))
  logger.write(LogEvents.settingsReloaded, { inputs: { applied: namesOf(applied), fromNextStart: namesOf(fromNextStart) } })
}

type NamedValue = readonly [name: string, value: unknown]

function listChanged (settings: FleetSettings, read: FleetSettings): NamedValue[] {
  return Object.entries(read).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(settings[name as keyof FleetSettings]))
}

function namesOf (values: readonly NamedValue[]): string {
  return values.map(([name]) => name).join(' ')
}

// A file that is replaced has another inode, one that is written in place another time or size.
async function identifyContent (path: string | undefined): Promise<string> {
  if (path === undefined) return ''
  try {
    const { ino, size, mtimeMs } = await stat(path)
    return `${ino}/${size}/${mtimeMs}`
  } catch {
    // A file that is missing while it is replaced counts as changed; reading it then writes the log line with the reason.
    return 'missing'
  }
}
