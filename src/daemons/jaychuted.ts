#!/usr/bin/env node
/**
 * The daemon: reads and validates the settings, starts the role and drains on SIGTERM.
 * @module
 */
import meow from 'meow'
import { ExitCode, findUnknownOptions, reportProblems } from '../process/program/commandLine.ts'
import { startDaemon } from '../process/entry/daemon.ts'
import { runDaemon, SecondSignal } from '../process/program/daemonRun.ts'
import { diagnoseStartFailure, listFlags, readSettings } from '../process/program/settings.ts'

const program = 'jaychuted'
const flags = listFlags()
const width = Math.max(...flags.map(({ flag }) => flag.length))
const help = `
  Usage
    $ jaychuted --role <entry|control|both> [flags]

  Flags (each also as an environment variable)
${flags.map(({ flag, variable, text }) => `    ${flag.padEnd(width)}  ${text} (${variable})`).join('\n')}

  SIGTERM drains the host and ends it when its last request has ended; a second one ends it at once.
  Exit code 2 stands for a setting that must be corrected, 1 for any other failure.
`
const command = meow(help, {
  importMeta: import.meta,
  flags: Object.fromEntries(flags.map(({ setting }) => [setting, { type: 'string' as const }]))
})

const problems = findUnknownOptions({ flags: command.flags, knownFlags: flags.map(({ setting }) => setting) }, process.env)
for (const word of command.input) problems.push({ flag: word, text: 'is not a flag' })
const settings = readSettings(command.flags, process.env)
if (settings.isErr()) problems.push(...settings.error)
if (settings.isErr() || problems.length > 0) {
  reportProblems(program, problems)
  process.exit(ExitCode.Usage)
}
const started = await startDaemon(settings.value)
if (started.isErr()) {
  const problem = diagnoseStartFailure(started.error, settings.value)
  reportProblems(program, [problem ?? { flag: started.error.step, text: started.error.message }])
  process.exit(problem === undefined ? ExitCode.Failure : ExitCode.Usage)
}
await runDaemon(started.value, SecondSignal.Ends)
