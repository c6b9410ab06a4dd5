#!/usr/bin/env node
/**
 * The operators' command line.
 * @module
 */
import meow from 'meow'
import { FailureReason } from '../process/failure.ts'
import { createOperatorClient } from '../process/operatorClient.ts'
import { runOperation } from '../process/operatorCommands.ts'

const usageCode = 2
const failureCode = 1

const command = meow(`
  Usage
    $ jaychute routes|pools get
    $ jaychute routes|pools check|diff --file FILE
    $ jaychute routes|pools apply --file FILE [--expected-version N] [--operation ID]
    $ jaychute jobs submit --file FILE --account NAME --key KEY --route NAME [--due TIME]
    $ jaychute jobs list
    $ jaychute jobs status|results|cancel JOB
    $ jaychute status

  Flags
    --address           administration address of any host (JAYCHUTE_ADDRESS)
    --json              write JSON for programs
    --file              JSON rows of a table, or the items of a job, one JSON object a line
    --expected-version  version that the change was made from; the current one by default
    --operation         id of the change; the same id sent again gets the first outcome
    --account           account that owns the job
    --key               the caller's own key of the job; sent again it is the same job
    --route             route of the job's items
    --due               time by which the job is due, in ISO 8601
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    address: { type: 'string' },
    json: { type: 'boolean', default: false },
    file: { type: 'string' },
    expectedVersion: { type: 'number' },
    operation: { type: 'string' },
    account: { type: 'string' },
    key: { type: 'string' },
    route: { type: 'string' },
    due: { type: 'string' }
  }
})

const address = command.flags.address ?? process.env.JAYCHUTE_ADDRESS
if (address === undefined) {
  console.error('jaychute: --address or JAYCHUTE_ADDRESS is missing')
  process.exit(usageCode)
}
const result = await runOperation({
  client: createOperatorClient(address),
  words: command.input,
  flags: command.flags,
  output: {
    line: text => { process.stdout.write(`${text}\n`) },
    progress: text => { if (process.stderr.isTTY) process.stderr.write(`\r${text}`) }
  }
})
if (result.isErr()) {
  console.error(`jaychute: ${result.error.message}`)
  process.exitCode = result.error.reason === FailureReason.Invalid ? usageCode : failureCode
}
