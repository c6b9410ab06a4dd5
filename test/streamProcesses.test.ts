import { expect } from 'chai'
import { request } from 'undici'
import { eventually } from '../scripts/processes.ts'
import { Counter } from '../src/process/program/metrics.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const streams = 8
const startTimeoutMs = 15_000

interface BrokenStream {
  readonly id: string
  /** Id of the last event that the caller received. */
  readonly lastEvent: number
}

describe('streams of two software versions in a fleet of processes', () => {
  let fleet: Fleet
  before(async () => {
    fleet = await startFleet(4, 2)
    for (const [index, server] of fleet.servers.entries()) server.softwareVersion = index % 2 === 0 ? 'v1' : 'v2'
    await fleet.publish(1)
  })
  after(async () => await fleet.close())

  // Reads a stream of a gateway until it breaks off.
  async function readBrokenStream (id: string, gateway: number): Promise<BrokenStream> {
    const response = await request(`http://${fleet.gateways[gateway] ?? ''}/live/1`, { headers: { host: 'a.example', 'x-request-id': id, 'x-events': '400' } })
    let text = ''
    try {
      for await (const chunk of response.body) text += String(chunk)
    } catch {
      // The gateway was killed.
    }
    const ids = [...text.matchAll(/^id: (\d+)\ndata: e\d+\n$/gm)].map(match => Number(match[1]))
    return { id, lastEvent: ids.at(-1) ?? expect.fail(`stream ${id} has no event, status ${response.statusCode}`) }
  }

  async function waitUntilServing (): Promise<void> {
    for (const gateway of fleet.gateways.keys()) {
      await eventually('a gateway that serves', startTimeoutMs, async () => {
        const response = await fleet.call('GET', '/live/1', { 'x-request-id': 'probe' }, undefined, gateway).catch(() => undefined)
        return response?.status === 200 ? true : undefined
      })
    }
  }

  function findVersions (id: string): string[] {
    return fleet.servers.filter(({ ran }) => ran.includes(id)).map(({ softwareVersion }) => softwareVersion)
  }

  async function breakStreams (prefix: string): Promise<BrokenStream[]> {
    await waitUntilServing()
    const broken = Array.from({ length: streams }, async (_, index) => await readBrokenStream(`${prefix}-${index}`, index % 2))
    await eventually('every stream at a server', startTimeoutMs, async () => {
      const begun = Array.from({ length: streams }, (_, index) => findVersions(`${prefix}-${index}`).length)
      return begun.every(count => count > 0) ? true : undefined
    })
    await new Promise(resolve => setTimeout(resolve, 300))
    await fleet.restartGateways()
    return await Promise.all(broken)
  }

  // Resumes a stream at a gateway until it is not refused as not ready. The first retries find a gateway without tables.
  async function resume ({ id, lastEvent }: BrokenStream, gateway: number): Promise<number> {
    return await eventually(`an answer to the resumption of ${id}`, startTimeoutMs, async () => {
      const response = await fleet.call('GET', '/live/1', { 'x-request-id': `${id}-again`, resumes: id, 'last-event-id': String(lastEvent), 'x-events': String(lastEvent + 3) }, undefined, gateway).catch(() => undefined)
      if (response === undefined || /not ready|overloaded/.test(response.text)) return undefined
      return response.status
    })
  }

  // Failure (ORDER on deploy/days/rejoined): after all gateways were killed and came back, streams went on at servers of another version.
  // Guards against an executor that keeps no records, and is named as a host that keeps them.
  it('do not depend on an executor whose port is in use: it ends at its start', async () => {
    const executor = await fleet.startExecutor('127.0.0.1')
    await eventually('the end of the executor', startTimeoutMs, async () => executor.child.exitCode === null ? undefined : true)
    expect(executor.child.exitCode).to.equal(1)
    expect(executor.errors()).to.match(/listen: .*EADDRINUSE/)
  })

  for (const [name, executors] of [['control hosts', []], ['executors', ['127.0.0.4', '127.0.0.5', '127.0.0.6']]] as const) {
    it(`go on at their version after all gateways were killed, by the records of ${name}`, async () => {
      for (const ip of executors) await fleet.startExecutor(ip)
      // Gateways learn of new executors with their next poll.
      await new Promise(resolve => setTimeout(resolve, 2_000))
      const keepers = executors.length > 0 ? executors : ['127.0.0.1', '127.0.0.2', '127.0.0.3']
      const before = await fleet.readCounter(keepers, Counter.Responses, 'streams.find')
      const broken = await breakStreams(name.slice(0, 1))
      const statuses = await Promise.all(broken.map(async (stream, index) => await resume(stream, index % 2)))
      expect(statuses).to.deep.equal(broken.map(() => 200))
      for (const { id } of broken) expect(findVersions(`${id}-again`), id).to.deep.equal([findVersions(id)[0]])
      expect(await fleet.readCounter(keepers, Counter.Responses, 'streams.find') - before).to.be.at.least(streams)
    })
  }
})
