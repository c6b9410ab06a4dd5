/**
 * Reloads the settings file on request and when the file has changed. Settings that may change in a running process take
 * effect at once, all others at the next start.
 * @module
 */
import { stat } from 'node:fs/promises'
import type { Condition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { type FleetSettings, readFleetSettings } from './fleetSettings.ts'

/** Interval between checks of the settings file, in milliseconds; a configuration must be active within 2.5 s on the first sites. */
export const settingsCheckIntervalMs = 2_000

/** Settings that may change in a running process; the code that uses them reads them at each use. */
const reloadable: ReadonlySet<string> = new Set(['seeds', 'regions', 'heartbeatMs', 'graceSeconds', 'statusKeepSeconds', 'revocationMs'])

/** Dependencies and settings of the reload task. */
export interface SettingsReload {
  /** Path of the settings file. Without one, settings are reloaded on request only, from the flags. */
  readonly path: string | undefined
  readonly flags: Readonly<Record<string, unknown>>
  /** The active settings; reloadable fields are replaced in place. */
  readonly settings: FleetSettings
  /** Notified to reload the file even if it has not changed. */
  readonly requested: Condition
  readonly logger: Logger
}

/**
 * Reloads the settings until the signal aborts.
 * @param reload - dependencies and settings of the task
 * @param signal - stops the task
 * @returns a promise that resolves when the task has stopped
 */
export async function runSettingsReload (reload: SettingsReload, signal: AbortSignal): Promise<void> {
  const { path, requested } = reload
  let knownSignature = await readFileSignature(path)
  while (!signal.aborted) {
    const isRequested = await requested.wait(settingsCheckIntervalMs, signal)
    if (signal.aborted) return
    const signature = await readFileSignature(path)
    if (!isRequested && signature === knownSignature) continue
    knownSignature = signature
    reloadSettings(reload)
  }
}

function reloadSettings ({ path, flags, settings, logger }: SettingsReload): void {
  const loaded = readFleetSettings(path, flags)
  if (loaded.isErr()) {
    logger.write(LogEvents.settingsRefused, { detail: loaded.error.join('; ') })
    return
  }
  const changed = listChangedSettings(settings, loaded.value)
  const applied = changed.filter(([name]) => reloadable.has(name))
  const fromNextStart = changed.filter(([name]) => !reloadable.has(name))
  Object.assign(settings, Object.fromEntries(applied))
  logger.write(LogEvents.settingsReloaded, { inputs: { applied: joinNames(applied), fromNextStart: joinNames(fromNextStart) } })
}

type NamedValue = readonly [name: string, value: unknown]

function listChangedSettings (settings: FleetSettings, loaded: FleetSettings): NamedValue[] {
  return Object.entries(loaded).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(settings[name as keyof FleetSettings]))
}

function joinNames (values: readonly NamedValue[]): string {
  return values.map(([name]) => name).join(' ')
}

// Replacing a file changes its inode; writing it in place changes its modification time or size.
async function readFileSignature (path: string | undefined): Promise<string> {
  if (path === undefined) return ''
  try {
    const { ino, size, mtimeMs } = await stat(path)
    return `${ino}/${size}/${mtimeMs}`
  } catch {
    // A file that is missing while being replaced counts as changed; the reload then logs why it could not be read.
    return 'missing'
  }
}
