import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { type Fleet, startFleet, type StreamServer } from './support/fleetProcesses.ts'

const timeoutMs = 15_000

/** Time in which every host learns from the leader that a server leaves, in milliseconds. */
const reportMs = 1_000

/** Requests that show that a server gets none: with three equal servers, each gets a third of them. */
const manyRequests = 40

describe('a backend server whose responses say that it leaves, while its heartbeats report it as ready', () => {
  let fleet: Fleet
  let requests = 0
  before(async () => {
    fleet = await startFleet(3)
    expect(await fleet.publish(1)).to.equal(200)
    for (const gateway of [0, 1]) await eventually('a complete stream', timeoutMs, async () => await send(gateway) === 200 ? true : undefined)
  })
  after(() => fleet.close())

  async function send (gateway: number): Promise<number> {
    const id = `q-${requests++}`
    return (await fleet.call('POST', `/live/${id}`, { 'x-request-id': id, 'x-deadline-ms': '4000' }, undefined, gateway)).status
  }

  async function sendMany (gateway: number): Promise<void> {
    for (let count = 0; count < manyRequests; count++) expect(await send(gateway)).to.equal(200)
  }

  async function sendUntilReached (server: StreamServer, gateway: number): Promise<void> {
    const { length } = server.arrivals
    await eventually(`a request to ${server.id}`, timeoutMs, async () => {
      await send(gateway)
      return server.arrivals.length > length ? true : undefined
    })
  }

  // Guards against requests to a leaving server from a machine that has passed on its response (DRAIN).
  it('gets no further request of a gateway that has passed on such a response', async () => {
    const [server] = fleet.servers as [StreamServer]
    server.isLeaving = true
    await sendUntilReached(server, 0)
    const { length } = server.arrivals
    await sendMany(0)
    expect(server.arrivals).to.have.length(length)
  })

  // Guards against requests of hosts that have had no response of a leaving server, when it never reports that it leaves.
  it('gets no further request and no item of any host once the leader knows', async () => {
    const server = fleet.servers[0] as StreamServer
    await new Promise(resolve => setTimeout(resolve, reportMs))
    const { length } = server.arrivals
    const items = Array.from({ length: 12 }, (_, index) => ({ id: `x-${index}`, path: '/batch/x', headers: {}, body: '', tokens: 50 }))
    expect((await fleet.call('POST', '/batch/j', { 'x-request-id': 'job' }, JSON.stringify({ items }))).status).to.equal(202)
    await sendMany(1)
    await eventually('all results', timeoutMs, async () => {
      const page = JSON.parse((await fleet.call('GET', '/v1/lots/job?after=0')).text) as { readonly results: readonly unknown[] }
      return page.results.length === items.length ? true : undefined
    })
    expect(server.arrivals).to.have.length(length)
  })

  // Guards against requests to a leaving server from a machine that is out of touch: the rule holds there too.
  it('gets none either while no control host runs', async () => {
    const server = fleet.servers[1] as StreamServer
    for (const program of fleet.controlPrograms.values()) await program.end('SIGKILL')
    server.isLeaving = true
    await sendUntilReached(server, 0)
    const { length } = server.arrivals
    await sendMany(0)
    expect(server.arrivals).to.have.length(length)
  })
})
