#!/usr/bin/env node
/**
 * The operators' command line program.
 * @module
 */
import meow from 'meow'
import { ExitCode, findUnknownOptions, operatorAddressVariable, reportProblems } from '../process/program/commandLine.ts'
import { FailureReason } from '../process/program/failure.ts'
import { createOperatorClient } from '../process/entry/operatorClient.ts'
import { explainCommand, runExplainCommand } from '../process/entry/explainCommand.ts'
import { type Output, runOperatorCommand } from '../process/entry/operatorCommands.ts'
import { isAddress } from '../process/program/address.ts'

const program = 'jaychute'
/** Minimum interval between two progress lines, in milliseconds. */
const progressIntervalMs = 1_000

const flags = {
  address: { type: 'string' },
  json: { type: 'boolean', default: false },
  file: { type: 'string' },
  expectedVersion: { type: 'string' },
  operation: { type: 'string' },
  account: { type: 'string' },
  key: { type: 'string' },
  route: { type: 'string' },
  due: { type: 'string' },
  host: { type: 'string' },
  path: { type: 'string' }
} as const

const command = meow(`
  Usage
    $ jaychute routes|pools get
    $ jaychute routes|pools check|diff --file FILE
    $ jaychute routes|pools apply --file FILE [--expected-version N] [--operation ID]
    $ jaychute jobs submit --file FILE --account NAME --key KEY --route NAME [--due TIME]
    $ jaychute jobs list
    $ jaychute jobs status|results|cancel JOB
    $ jaychute status
    $ jaychute explain HOST:PORT --host NAME --path PATH [--account NAME]

  Flags
    --address           administration address of any host (JAYCHUTE_ADDRESS)
    --json              write JSON for programs
    --file              JSON rows of a table, or the items of a job, one JSON object a line
    --expected-version  version that the change was made from; the current one by default
    --operation         id of the change; the same id sent again gets the first outcome
    --account           account that owns the job, or that would send the request; never a key
    --key               the caller's own key of the job; sent again it is the same job
    --route             route of the job's items
    --due               time by which the job is due, in ISO 8601
    --host, --path      host name and path of a request or job; explain asks the metrics address HOST:PORT of a
                        gateway of jaychute-host where it would go now, and sends nothing
`, {
  importMeta: import.meta,
  flags
})

const isExplanation = command.input[0] === explainCommand
const addressName = isExplanation ? 'HOST:PORT' : '--address'
const address = isExplanation ? command.input[1] : command.flags.address ?? process.env[operatorAddressVariable]
const problems = findUnknownOptions({ flags: command.flags, knownFlags: Object.keys(flags) }, process.env)
if (address === undefined) problems.push({ flag: addressName, text: isExplanation ? 'is missing' : `is missing, and so is ${operatorAddressVariable}` })
else if (!isAddress(address)) problems.push({ flag: addressName, text: 'must be an IP address and a port, for example 127.0.0.1:7000' })
const { expectedVersion, due } = command.flags
if (expectedVersion !== undefined && !/^\d{1,15}$/.test(expectedVersion)) problems.push({ flag: '--expected-version', text: 'must be a whole number' })
if (due !== undefined && Number.isNaN(Date.parse(due))) problems.push({ flag: '--due', text: 'must be a time in ISO 8601, for example 2026-03-02T05:30:00Z' })
if (problems.length > 0) {
  reportProblems(program, problems)
  process.exit(ExitCode.Usage)
}
let lastProgressAt = performance.now()
const output: Output = {
  writeLine: text => { process.stdout.write(`${text}\n`) },
  reportProgress (text) {
    if (performance.now() - lastProgressAt < progressIntervalMs) return
    lastProgressAt = performance.now()
    process.stderr.write(`${text}\n`)
  }
}
const operatorFlags = { ...command.flags, expectedVersion: expectedVersion === undefined ? undefined : Number(expectedVersion) }
const result = isExplanation
  ? await runExplainCommand({ address: address ?? '', flags: operatorFlags, output })
  : await runOperatorCommand({ client: createOperatorClient(address ?? ''), positionals: command.input, flags: operatorFlags, output })
if (result.isErr()) {
  console.error(`jaychute: ${result.error.message}`)
  process.exitCode = result.error.reason === FailureReason.Invalid ? ExitCode.Usage : ExitCode.Failure
}
