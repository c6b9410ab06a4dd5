import { expect } from 'chai'
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { eventually, type Program, reserveAddresses, runProgram, startProgram } from '../scripts/processes.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'
import { listFlags } from '../src/process/program/settings.ts'
import { RefusalReason } from '../src/request/refusal.ts'
import { DenialReason } from '../src/request/retry.ts'
import { configureRoute } from '../scripts/fleetCalls.ts'

const daemon = 'src/daemons/jaychuted.js'
const operator = 'src/daemons/jaychute.js'

describe('programs', () => {
  let folder: string
  let flags: string[]
  let addresses: string[]

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'jaychute-programs-'))
    addresses = await reserveAddresses(4)
    const [internal = '', caller = '', administration = '', metrics = ''] = addresses
    flags = [
      '--role', 'both', '--host', 'a', '--availability-zone', 'z', '--region', 'r', '--internal-address', internal, '--control-hosts', internal,
      '--caller-address', caller, '--administration-address', administration, '--metrics-address', metrics, '--data-folder', join(folder, 'data')
    ]
  })
  afterEach(() => rm(folder, { recursive: true, force: true }))

  it('print help and version', async () => {
    const { version } = JSON.parse(await readFile('package.json', 'utf8')) as { version: string }
    for (const path of [daemon, operator]) {
      expect(await runProgram(path, ['--version'])).to.include({ code: 0, output: `${version}\n` })
      const help = await runProgram(path, ['--help'])
      expect(help.code).to.equal(0)
      for (const { flag } of path === daemon ? listFlags() : []) expect(help.output).to.include(`${flag} `)
      expect(help.output).to.include('Usage')
    }
  })

  // Failure: only the first problem was shown, so that each start showed another one.
  it('end with code 2 and one line for each wrong setting', async () => {
    const refused = await runProgram(daemon, ['--role', 'entry', '--hots', 'a', '--log-level', 'loud', '--internal-address', '10.0.0.1', 'word'])
    expect(refused.code).to.equal(2)
    const named = refused.errors.trim().split('\n').map(line => /^jaychuted: (\S+): ./.exec(line)?.[1])
    expect(named).to.have.members(['--hots', 'word', '--host', '--availability-zone', '--region', '--internal-address', '--control-hosts', '--log-level'])
    const operated = await runProgram(operator, ['status', '--address', 'nowhere', '--expected-version', 'x', '--due', 'soon', '--jsno'])
    expect(operated.code).to.equal(2)
    expect(operated.errors.trim().split('\n').map(line => line.split(': ')[1])).to.have.members(['--address', '--expected-version', '--due', '--jsno'])
    expect((await runProgram(operator, ['tables', 'get', '--address', '127.0.0.1:1'])).code).to.equal(2)
  })

  it('end with code 2 when a port is in use or the data folder cannot be used', async () => {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(Number(addresses[1]?.split(':')[1]), '127.0.0.1', resolve))
    const inUse = await runProgram(daemon, flags)
    server.close()
    expect(inUse).to.include({ code: 2 })
    expect(inUse.errors.split('\n').filter(line => line !== '' && !line.startsWith('{'))).to.have.length(1)
    expect(inUse.errors).to.match(/^jaychuted: --caller-address: .*EADDRINUSE/m)

    await writeFile(join(folder, 'file'), '')
    const unusable = await runProgram(daemon, [...flags.slice(0, -1), join(folder, 'file', 'data')])
    expect(unusable.code).to.equal(2)
    expect(unusable.errors).to.match(/^jaychuted: --data-folder: ENOTDIR/m)

    await mkdir(join(folder, 'data'), { recursive: true })
    await writeFile(join(folder, 'data', 'identity.json'), JSON.stringify({ identity: 'x', host: 'b' }))
    const foreign = await runProgram(daemon, flags)
    expect(foreign.code).to.equal(2)
    expect(foreign.errors).to.match(/^jaychuted: --data-folder: data folder belongs to host b, not a$/m)
  })

  describe('on a running host', () => {
    let program: Program
    const operate = (...words: string[]): ReturnType<typeof runProgram> => runProgram(operator, [...words, '--address', addresses[2] ?? ''])

    beforeEach(async () => {
      program = startProgram('a', daemon, flags)
      const host = { name: 'a', internalAddress: addresses[0] ?? '', callerAddress: addresses[1] ?? '', administrationAddress: addresses[2] ?? '', flags, program }
      await configureRoute({ folder, controlHosts: [host], entryHosts: [host], standIns: [], operate } as unknown as Parameters<typeof configureRoute>[0])
    })
    afterEach(() => program.end('SIGKILL'))

    it('count every reason from 0, and log each refusal with its request id', async () => {
      const read = async (): Promise<string> => {
        const answer = await request(`http://${addresses[3]}/metrics`)
        expect(answer.headers['content-type']).to.match(/^text\/plain; version=0\.0\.4/)
        return await answer.body.text()
      }
      const before = await read()
      for (const reason of Object.values(RefusalReason)) expect(before).to.match(new RegExp(`^jaychute_refusals_total\\{label="${reason}"\\} \\d+$`, 'm'))
      for (const reason of Object.values(DenialReason)) expect(before).to.include(`jaychute_retries_denied_total{label="${reason}"} 0`)
      expect(before).to.include('jaychute_attempt_failures_total{label="timeout"} 0').and.to.include('jaychute_retries_total{label="connection refused"} 0').and.to.include('jaychute_refusals_total{label="no backend server"} 0')
      const refused = await request(`http://${addresses[1]}/v1/routes/assist/requests`, {
        method: 'POST', headers: { 'content-type': 'application/json', 'jaychute-account': 'rothar', 'jaychute-request-id': 'r-7' }, body: '{"input":"x"}'
      })
      await refused.body.dump()
      expect(await read()).to.include('jaychute_refusals_total{label="no backend server"} 1')
      const event = await eventually('the log event', 2_000, () => program.errors().split('\n').find(line => line.includes('"r-7"')))
      expect(JSON.parse(event)).to.include({ event: LogEvents.requestRefused.number, requestId: 'r-7', reason: 'no backend server', step: 'admit' })
    })

    it('show tables to people and JSON to programs, and submit a job again as the same job', async () => {
      expect((await operate('pools', 'get')).output).to.match(/^version 2\nname +protocol +preference/)
      expect(JSON.parse((await operate('status', '--json')).output)).to.include({ host: 'a', role: 'both' })
      expect((await operate('status')).output).to.match(/^host: a$/m).and.to.match(/^control\.members\nidentity +address/m)

      const file = join(folder, 'sheets.ndjson')
      await writeFile(file, '{"name":"a","input":"x"}\n')
      const words = ['jobs', 'submit', '--file', file, '--account', 'rothar', '--key', 'evening', '--route', 'assist']
      const deaf = createServer((_, response) => { response.destroy() })
      await new Promise<void>(resolve => deaf.listen(0, '127.0.0.1', resolve))
      const lost = await runProgram(operator, [...words, '--address', `127.0.0.1:${(deaf.address() as AddressInfo).port}`])
      deaf.close()
      expect(lost.code).to.equal(1)
      expect(lost.errors).to.include('may be run again')
      const [first, second] = [await operate(...words), await operate(...words)]
      expect(first).to.include({ code: 0, output: second.output })
      expect((await operate('jobs', 'list')).output).to.match(/^job +account .*\n.*T\d\d:\d\d/)
      await writeFile(file, '{"name":"a","input":"other"}\n')
      expect(await operate(...words)).to.include({ code: 1 })
    })
  })
})
