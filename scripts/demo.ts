/**
 * The main job on real processes: three control hosts, two entry hosts and two stand-in backend servers. Edits both
 * tables, asks one live question, runs one job, restarts a control host and reads the same results again.
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createParser } from 'eventsource-parser'
import { request } from 'undici'
import { type Fleet, startFleet } from './fleet.ts'
import { eventually, type ProgramResult } from './processes.ts'

const startLimitMs = 20_000
const jobLimitMs = 30_000

function say (text: string): void {
  console.log(text)
}

function expectSuccess (text: string, finished: ProgramResult): string {
  if (finished.code === 0) return finished.output
  throw new Error(`${text} failed with code ${finished.code}: ${finished.errors}`)
}

async function applyTable (fleet: Fleet, table: string, rows: object[]): Promise<void> {
  const file = join(fleet.folder, `${table}.json`)
  await writeFile(file, JSON.stringify(rows))
  const finished = await eventually(`${table} applied`, startLimitMs, async () => {
    const tried = await fleet.operate(table, 'apply', '--file', file)
    return tried.code === 0 ? tried : undefined
  })
  say(`$ jaychute ${table} apply\n${finished.output.trim()}`)
}

async function ask (address: string): Promise<string | undefined> {
  const answer = await request(`http://${address}/v1/routes/rack-assist/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar' },
    body: JSON.stringify({ input: 'Is the wall at bay 4 fit for drilling?', maxTokens: 12, stream: true })
  })
  if (answer.statusCode !== 200) {
    await answer.body.dump()
    return undefined
  }
  let text = ''
  const parser = createParser({ onEvent: event => { text += `  ${event.event ?? ''} ${event.data}\n` } })
  for await (const chunk of answer.body) parser.feed(String(chunk))
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
  say(`$ jaychute jobs submit\n${job}`)
  await eventually('the job finished', jobLimitMs, async () => {
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
  const answer = await eventually('a live answer', startLimitMs, () => ask(fleet.entryHosts[1]?.callerAddress ?? ''))
  say(`live question through ${fleet.entryHosts[1]?.name}:\n${answer.trimEnd()}`)
  const job = await runJob(fleet)
  const before = await readResults(fleet, job)
  say(`$ jaychute jobs results ${job}\n${before.trimEnd()}`)
  const restarted = fleet.controlHosts[0]
  if (restarted === undefined) throw new Error('there is no control host')
  await fleet.restart(restarted, 'SIGKILL')
  say(`${restarted.name} killed and started again`)
  const after = await eventually('the results after the restart', startLimitMs, async () => {
    const tried = await fleet.operate('jobs', 'results', job)
    return tried.code === 0 ? tried.output : undefined
  })
  if (after !== before) throw new Error('the results differ after the restart')
  say('the results are the same after the restart')
}

const fleet = await startFleet({ controlHosts: 3, entryHosts: 2 })
try {
  await runDemo(fleet)
} catch (error) {
  for (const host of [...fleet.controlHosts, ...fleet.entryHosts]) say(`--- ${host.name}\n${host.program.errors().slice(-2000)}`)
  console.error(error)
  process.exitCode = 1
} finally {
  await fleet.close()
}
