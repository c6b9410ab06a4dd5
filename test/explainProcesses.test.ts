import { expect } from 'chai'
import { eventually, type ProgramResult, reserveAddresses, runProgram } from '../scripts/processes.ts'
import type { PlacementExplanation } from '../src/request/placementExplanation.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

describe('jaychute explain', () => {
  let fleet: Fleet
  let metricsAddress = ''
  before(async () => {
    [metricsAddress = ''] = await reserveAddresses(1)
    fleet = await startFleet(2, 1, { metricsAddress })
  })
  after(() => fleet.close())

  const explain = (path: string, ...words: string[]): Promise<ProgramResult> => runProgram('src/daemons/jaychute.js', ['explain', metricsAddress, '--host', 'a.example', '--path', path, ...words])

  // Guards against scripts that take a refusal, or a host that is not there, for a request that would go somewhere.
  it('exits with 0 if a request or a job would go somewhere, with 1 if not and with 2 on wrong usage', async () => {
    expect((await explain('/live/1')).code).to.equal(1)
    expect(await fleet.publish(3)).to.equal(200)
    const live = await eventually('a request that would go somewhere', 15_000, async () => {
      const result = await explain('/live/1', '--json')
      return result.code === 0 ? JSON.parse(result.output) as PlacementExplanation : undefined
    })
    expect(live.servers?.chosen).to.match(/^i-[12]$/)
    expect((await explain('/live/1')).output).to.match(/^would go to i-[12] of service s$/m).and.to.match(/^server +address +zone +share +score +load/m)
    const job = JSON.parse((await explain('/batch/x', '--json')).output) as PlacementExplanation
    expect(job.job).to.deep.equal({ waitingTokens: 0, tokenLimit: 1_000, acceptedTokens: 1_000 })
    const unknownRoute = await explain('/nowhere/')
    expect([unknownRoute.code, unknownRoute.errors]).to.deep.equal([1, 'jaychute: a.example/nowhere/ would be refused: no route\n'])
    const unknownAccount = await explain('/live/1', '--account', 'west')
    expect(unknownAccount.code).to.equal(1)
    expect(unknownAccount.errors).to.include('unknown account')
    const unreachable = await runProgram('src/daemons/jaychute.js', ['explain', '127.0.0.1:1', '--host', 'a', '--path', '/'])
    expect(unreachable.code).to.equal(1)
    expect(unreachable.errors).to.include('ECONNREFUSED')
    for (const words of [['explain', metricsAddress, '--host', 'a'], ['explain', '--host', 'a', '--path', '/'], ['explain', 'here', '--host', 'a', '--path', '/'], ['explain', metricsAddress, '--host', 'a', '--path', 'x']]) {
      expect((await runProgram('src/daemons/jaychute.js', words)).code, words.join(' ')).to.equal(2)
    }
  })

  // Guards against callers who read the servers and their load, and against an explanation that reaches a server.
  it('is not served at the address of callers, and sends nothing', async () => {
    expect((await fleet.call('GET', '/explain?host=a.example&path=/live/1')).status).to.equal(404)
    const wrongAddress = await runProgram('src/daemons/jaychute.js', ['explain', fleet.gateways[0] ?? '', '--host', 'a', '--path', '/'])
    expect(wrongAddress.code).to.equal(1)
    for (const { ran } of fleet.servers) expect(ran).to.deep.equal([])
  })
})
