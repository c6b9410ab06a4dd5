/**
 * Demo on real processes: three control hosts, two entry hosts and two stand-in backend servers. Applies both tables, sends
 * a live request, runs a job, restarts a control host and checks that the results of the job are unchanged.
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createParser } from 'eventsource-parser'
import { request } from 'undici'
import { type Fleet, startFleet } from './fleet.ts'
import { eventually, type ProgramResult } from './processes.ts'

const startTimeoutMs = 20_000
const jobTimeoutMs = 30_000

function print (text: string): void {
  console.log(text)
}

function expectSuccess (commandName: string, result: ProgramResult): string {
  if (result.code === 0) return result.output
  throw new Error(`${commandName} failed with code ${result.code}: ${result.errors}`)
}

async function applyTable (fleet: Fleet, table: string, rows: object[]): Promise<void> {
  const file = join(fleet.folder, `${table}.json`)
  await writeFile(file, JSON.stringify(rows))
  const result = await eventually(`${table} applied`, startTimeoutMs, async () => {
    const attempt = await fleet.operate(table, 'apply', '--file', file)
    return attempt.code === 0 ? attempt : undefined
  })
  print(`$ jaychute ${table} apply\n${result.output.trim()}`)
}

async function sendLiveRequest (address: string): Promise<string | undefined> {
  const response = await request(`http://${address}/v1/routes/rack-assist/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar' },
    body: JSON.stringify({ input: 'Is the wall at bay 4 fit for drilling?', maxTokens: 12, stream: true })
  })
  if (response.statusCode !== 200) {
    await response.body.dump()
    return undefined
  }
  let text = ''
  const parser = createParser({ onEvent: event => { text += `  ${event.event ?? ''} ${event.data}\n` } })
  for await (const chunk of response.body) parser.feed(String(chunk))
  return text
}

async function runJob (fleet: Fleet): Promise<string> {
  const file = join(fleet.folder, 'sheets.ndjson')
  const lines: string[] = []
  for (let number = 1; number <= 6; number++) {
    lines.push(JSON.stringify({ name: `sheet-${number}`, input: `install sheet ${number}`, maxTokens: 5, priority: number === 6 ? 'round-sheet' : 'ordinary' }))
  }
  await writeFile(file, lines.join('\n'))
  const submitted = expectSuccess('jobs submit', await fleet.operate('jobs', 'submit', '--file', file, '--account', 'rothar', '--key', 'evening', '--route', 'rack-assist'))
  const job = submitted.trim()
  print(`$ jaychute jobs submit\n${job}`)
  await eventually('end of the job', jobTimeoutMs, async () => {
    const status = expectSuccess('jobs status', await fleet.operate('jobs', 'status', job, '--json'))
    return (JSON.parse(status) as { phase: string }).phase === 'finished' ? true : undefined
  })
  return job
}

async function readResults (fleet: Fleet, job: string): Promise<string> {
  return expectSuccess('jobs results', await fleet.operate('jobs', 'results', job))
}

async function runDemo (fleet: Fleet): Promise<void> {
  fleet.startStandIn()
  fleet.startStandIn(['--availability-zone', 'zone-b'])
  await applyTable(fleet, 'pools', [{ name: 'assist' }])
  await applyTable(fleet, 'routes', [{ name: 'rack-assist', pool: 'assist' }])
  const response = await eventually('a response to a live request', startTimeoutMs, () => sendLiveRequest(fleet.entryHosts[1]?.callerAddress ?? ''))
  print(`live request through ${fleet.entryHosts[1]?.name}:\n${response.trimEnd()}`)
  const job = await runJob(fleet)
  const before = await readResults(fleet, job)
  print(`$ jaychute jobs results ${job}\n${before.trimEnd()}`)
  const restarted = fleet.controlHosts[0]
  if (restarted === undefined) throw new Error('there is no control host')
  await fleet.restart(restarted, 'SIGKILL')
  print(`${restarted.name} killed and restarted`)
  const after = await eventually('the results of the job after the restart', startTimeoutMs, async () => {
    const attempt = await fleet.operate('jobs', 'results', job)
    return attempt.code === 0 ? attempt.output : undefined
  })
  if (after !== before) throw new Error('the results of the job differ after the restart')
  print('the results of the job are the same after the restart')
}

const fleet = await startFleet({ controlHosts: 3, entryHosts: 2 })
try {
  await runDemo(fleet)
} catch (error) {
  for (const host of [...fleet.controlHosts, ...fleet.entryHosts]) print(`--- ${host.name}\n${host.program.errors().slice(-2000)}`)
  console.error(error)
  process.exitCode = 1
} finally {
  await fleet.close()
}
