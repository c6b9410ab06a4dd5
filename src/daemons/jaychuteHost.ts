#!/usr/bin/env node
/**
 * The daemon of a fleet host: reads the settings, starts the role of the host, reloads the settings on SIGHUP and drains on
 * SIGTERM.
 * @module
 */
import { settingsVariable } from '../../platform/names.ts'
import { ExitCode } from '../process/program/commandLine.ts'
import { createCondition } from '../process/program/condition.ts'
import { runDaemon, SecondSignal } from '../process/program/daemonRun.ts'
import type { Failure } from '../process/program/failure.ts'
import type { FleetDaemon } from '../process/fleet/fleetDaemon.ts'
import { FleetRole } from '../process/fleet/fleetMessages.ts'
import { type FleetSettings, listFleetSettings, readFleetSettings } from '../process/fleet/fleetSettings.ts'
import { runSettingsReload } from '../process/fleet/settingsReload.ts'
import type { Result } from 'neverthrow'

const program = 'jaychute-host'
const settingFlags = listFleetSettings()
const help = `
  Usage
    $ ${program} [--settings-file <file>] [flags]

  Settings (in the file, and each also as a flag in kebab case)
${settingFlags.map(({ setting, text }) => `    ${setting.padEnd(18)}  ${text}`).join('\n')}

  Without --settings-file the variable ${settingsVariable} names the file. SIGTERM drains the host.
  Exit code 2 stands for a setting that must be corrected, 1 for any other failure.
`

// The command line parser is loaded only when there are arguments, since the CPU time of a process start is accounted as work.
async function readFlags (): Promise<Record<string, unknown>> {
  if (process.argv.length <= 2) return {}
  const { default: meow } = await import('meow')
  return meow(help, {
    importMeta: import.meta,
    flags: { settingsFile: { type: 'string' }, ...Object.fromEntries(settingFlags.map(({ setting }) => [setting, { type: 'string' as const }])) }
  }).flags
}

function exitWithErrors (lines: readonly string[], code: number): never {
  for (const line of lines) console.error(`${program}: ${line}`)
  process.exit(code)
}

// Before the start, which may take long: the default action of the signal ends the process.
const reloadRequested = createCondition()
process.on('SIGHUP', () => reloadRequested.notify())
const { settingsFile, ...flags } = await readFlags()
const path = typeof settingsFile === 'string' ? settingsFile : process.env[settingsVariable]
const settings = readFleetSettings(path, flags)
if (settings.isErr()) exitWithErrors(settings.error, ExitCode.Usage)

// Dynamic imports, so that a process loads only the modules of its role.
async function start (fleetSettings: FleetSettings): Promise<Result<FleetDaemon, Failure>> {
  switch (fleetSettings.role) {
    case FleetRole.Gateway: return await (await import('../process/fleet/gatewayDaemon.ts')).startGateway(fleetSettings)
    case FleetRole.Control: return await (await import('../process/fleet/controlDaemon.ts')).startControl(fleetSettings)
    case FleetRole.Executor: return await (await import('../process/fleet/executorDaemon.ts')).startExecutor(fleetSettings)
  }
}

const started = await start(settings.value)
if (started.isErr()) exitWithErrors([`${started.error.step}: ${started.error.message}`], ExitCode.Failure)
const daemon = started.value

daemon.lifecycle.run(signal => runSettingsReload({ path, flags, settings: settings.value, requested: reloadRequested, logger: daemon.logger }, signal))
await runDaemon(daemon, SecondSignal.Ignored)
