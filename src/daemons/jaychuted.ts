#!/usr/bin/env node
/**
 * The daemon: reads its settings, starts, and drains on SIGTERM.
 * @module
 */
import meow from 'meow'
import { startDaemon } from '../process/daemon.ts'
import { LogEvents } from '../process/logEvents.ts'
import { listFlags, readSettings } from '../process/settings.ts'

const invalidSettingsCode = 2
const failureCode = 1

const flags = listFlags()
const width = Math.max(...flags.map(({ flag }) => flag.length))
const help = `
  Usage
    $ jaychuted --role <entry|control|both> [flags]

  Flags (each also as an environment variable)
${flags.map(({ flag, variable, text }) => `    ${flag.padEnd(width)}  ${text} (${variable})`).join('\n')}
`
const command = meow(help, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: Object.fromEntries(flags.map(({ setting }) => [setting, { type: 'string' as const }]))
})

const settings = readSettings(command.flags, process.env)
if (settings.isErr()) {
  for (const problem of settings.error) console.error(`jaychuted: ${problem.flag}: ${problem.text}`)
  process.exit(invalidSettingsCode)
}
const started = await startDaemon(settings.value)
if (started.isErr()) {
  console.error(`jaychuted: ${started.error.step}: ${started.error.message}`)
  process.exit(failureCode)
}
const daemon = started.value
let draining = false

function stop (): void {
  if (draining) process.exit(failureCode)
  draining = true
  daemon.drain().catch(() => process.exit(failureCode))
}

process.on('SIGTERM', stop)
process.on('SIGINT', stop)
await daemon.lifecycle.closed()
const { cause } = daemon.lifecycle
daemon.logger.write(cause === undefined ? LogEvents.processEnded : LogEvents.processFailed, cause === undefined ? {} : { failure: cause })
process.exit(cause === undefined ? 0 : failureCode)
