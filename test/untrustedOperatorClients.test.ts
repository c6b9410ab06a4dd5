import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { expectBounded, type ProcessBounds } from './support/boundedProcesses.ts'
import { type Crowd, type CrowdPlan, openCrowd } from './support/callerCrowd.ts'
import { type CrowdRequest, largeChunk, planAnnouncedBodies, planBodilessCrowds, planChunkedBodies, tinyChunk, tinyChunks } from './support/crowdPlans.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const timeoutMs = 30_000

/** The smallest machines of the roles have 178 MB for a process. A control host keeps descriptors for the other hosts beside those of clients. */
const bounds: ProcessBounds = { residentBytes: 160 * 1024 * 1024, descriptors: 1_400 }

/** Most connections of clients that a control host may keep at all its addresses together. */
const maxCallerConnections = 1_000

/** Heap of the control hosts, in MB, as in deploy/system.toml. */
const controlHeapMb = 96

/** Length of an upload that a control host may receive, in bytes. */
const bodyBytes = 4_194_304

/** Longest configuration, in bytes, and chunks of 64 KiB that exceed it. */
const maxConfigurationBytes = 16 * 1024 * 1024
const chunksOverLimit = maxConfigurationBytes / 0x10000 + 32

const configuration: CrowdRequest = { method: 'PUT', path: '/v1/config' }
const heartbeat: CrowdRequest = { method: 'PUT', path: '/v1/instances/i-9' }
const reading: CrowdRequest = { method: 'GET', path: '/v1/config' }
const lookup: CrowdRequest = { method: 'GET', path: '/v1/resolve' }

/** A configuration whose values take many times its size once they are decoded. */
const manyRoutes = Buffer.from(`{"version":9,"routes":[${'{},'.repeat(Math.floor((bodyBytes - 40) / 3))}{}]}`.padEnd(bodyBytes))

/** Connections that send a body with a request that has none. */
const unexpectedBodies = 200

const operatorCrowds: Readonly<Record<string, CrowdPlan>> = {
  'configurations far over the limit': planChunkedBodies(60, configuration, largeChunk, chunksOverLimit),
  'configurations announced far over the limit': planAnnouncedBodies(60, configuration, 1_073_741_824, 2 * bodyBytes),
  'configurations that do not end': planAnnouncedBodies(60, configuration, bodyBytes),
  'configurations that do not end, in large chunks': planChunkedBodies(60, configuration, largeChunk, 63),
  'configurations in chunks of one byte': planChunkedBodies(20, configuration, tinyChunk, tinyChunks),
  'configurations of many empty routes': { ...planAnnouncedBodies(8, configuration, bodyBytes, bodyBytes), block: manyRoutes },
  'heartbeats that do not end': planAnnouncedBodies(800, heartbeat, 60_000),
  'reads with bodies in chunks of one byte': planChunkedBodies(unexpectedBodies, reading, tinyChunk, tinyChunks),
  ...planBodilessCrowds(reading)
}

const directoryCrowds: Readonly<Record<string, CrowdPlan>> = {
  'bodies that nobody expects': planAnnouncedBodies(60, lookup, bodyBytes),
  'bodies that nobody expects, in chunks of one byte': planChunkedBodies(20, lookup, tinyChunk, tinyChunks),
  'many bodies that nobody expects, in chunks of one byte': planChunkedBodies(unexpectedBodies, lookup, tinyChunk, tinyChunks),
  ...planBodilessCrowds(lookup)
}

describe('clients that are not trusted at control hosts', () => {
  let fleet: Fleet
  const crowds: Crowd[] = []
  // Each crowd meets processes that have not served another one, so that the memory is their own.
  beforeEach(async () => {
    const nodeFlags = [`--max-old-space-size=${controlHeapMb}`, '--max-semi-space-size=2']
    fleet = await startFleet(1, 1, {}, nodeFlags, nodeFlags, { maxCallerConnections })
    expect(await publish(1)).to.equal(200)
  })
  afterEach(async () => {
    for (const crowd of crowds.splice(0)) crowd.close()
    await fleet.close()
  })

  // An operator repeats an order that is not confirmed in time.
  async function publish (version: number): Promise<number> {
    return await eventually('an acknowledged configuration', timeoutMs, async () => await fleet.publish(version).catch(() => 0) === 200 ? 200 : undefined)
  }

  async function answerAt (address: string, path: string): Promise<void> {
    await eventually(`an answer of ${address}${path}`, timeoutMs, async () => {
      const response = await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(4_000) }).catch(() => undefined)
      return response?.status === 200 ? true : undefined
    })
  }

  async function expectCrowdBearable (address: string, plan: CrowdPlan): Promise<Crowd> {
    const crowd = openCrowd(address, plan)
    crowds.push(crowd)
    await crowd.settle()
    expectBounded(fleet.controlPrograms.values(), bounds)
    await answerAt(fleet.operatorAddresses[0] ?? '', '/v1/config')
    await answerAt(fleet.directoryAddresses[0] ?? '', '/v1/resolve')
    expect(await publish(2)).to.equal(200)
    expectBounded(fleet.controlPrograms.values(), bounds)
    return crowd
  }

  // Failure: control hosts limited neither connections nor the requests on them, and kept all bytes of uploads that never end.
  for (const [name, plan] of Object.entries(operatorCrowds)) {
    it(`at the address for operators stay within its memory, and orders are executed: ${name}`, async () => {
      const { statuses } = await expectCrowdBearable(fleet.operatorAddresses[0] ?? '', plan)
      if (!plan.head.startsWith('PUT')) return
      for (const status of statuses) expect(status, 'an upload without its end is not served').to.be.within(400, 599)
    })
  }

  for (const [name, plan] of Object.entries(directoryCrowds)) {
    it(`at the directory stay within its memory, and orders are executed: ${name}`, async () => {
      await expectCrowdBearable(fleet.directoryAddresses[0] ?? '', plan)
    })
  }

  // Failure: answers that nobody reads lay in the memory of the control host, as many as were asked for.
  it('stay within its memory, and orders are executed: configurations that are not read', async () => {
    const address = fleet.operatorAddresses[0] ?? ''
    const url = `http://${address}/v1/config`
    const published = await (await fetch(url)).json() as { routes: object[] }
    const routes = Array.from({ length: 8_000 }, (_, index) => ({ ...published.routes[0], name: `route-${index}`, path_prefix: `/route-${index}/` }))
    const body = JSON.stringify({ ...published, version: 2, routes: [...published.routes, ...routes] })
    await eventually('an acknowledged configuration', timeoutMs, async () => (await fetch(url, { method: 'PUT', body })).status === 200 ? true : undefined)
    const crowd = openCrowd(address, { ...planAnnouncedBodies(200, reading, 0, 0), isReading: false })
    crowds.push(crowd)
    await crowd.settle()
    expectBounded(fleet.controlPrograms.values(), bounds)
    await answerAt(address, '/v1/config')
    expect(await publish(3)).to.equal(200)
    expectBounded(fleet.controlPrograms.values(), bounds)
  })

  // Failure: what was acknowledged before a crowd is gone or older after the end of the host that the crowd met.
  it('keep accepted jobs and orders when a host ends in a crowd and comes back into it', async () => {
    const [operatorAddress = '', directoryAddress = ''] = [fleet.operatorAddresses[0], fleet.directoryAddresses[0]]
    const ip = operatorAddress.split(':')[0] ?? ''
    // No executor runs, so the items stay open.
    const job = JSON.stringify({ items: [{ id: 'i', path: '/batch/x', headers: {}, body: Buffer.from('prompt').toString('base64'), tokens: 1 }] })
    await eventually('an accepted job', timeoutMs, async () => (await fleet.call('POST', '/batch/j', { 'x-request-id': 'kept' }, job)).status === 202 ? true : undefined)
    expect(await publish(2)).to.equal(200)
    const openCrowds = (): void => {
      crowds.push(openCrowd(operatorAddress, planAnnouncedBodies(60, configuration, bodyBytes)), openCrowd(directoryAddress, planBodilessCrowds(lookup)['requests that do not wait for answers'] ?? expect.fail()))
    }
    openCrowds()
    await eventually('connections of the crowd', timeoutMs, () => crowds[0]?.statuses.length === 0 ? undefined : true)
    await fleet.controlPrograms.get(ip)?.end('SIGKILL')
    await fleet.startControlHost(ip)
    await answerAt(directoryAddress, '/v1/resolve')
    openCrowds()
    for (const crowd of crowds) await crowd.settle()
    await answerAt(operatorAddress, '/v1/config')
    const { text } = await eventually('the job', timeoutMs, async () => {
      const response = await fleet.call('GET', '/v1/lots/kept?after=0')
      return response.status === 200 ? response : undefined
    })
    expect(JSON.parse(text)).to.include({ total: 1 })
    expect(await (await fetch(`http://${operatorAddress}/v1/config`)).json()).to.include({ version: 2 })
    expect(await publish(3)).to.equal(200)
    expectBounded(fleet.controlPrograms.values(), bounds)
  })

  // Failure: a bound against crowds that also refuses what the limits allow.
  it('serve a single configuration of the largest size in calm', async () => {
    const url = `http://${fleet.operatorAddresses[0] ?? ''}/v1/config`
    const body = (await (await fetch(url)).text()).replace('"version":1', '"version":2').padEnd(maxConfigurationBytes)
    const status = await eventually('an acknowledged configuration', timeoutMs, async () => {
      const response = await fetch(url, { method: 'PUT', body })
      return response.status === 503 ? undefined : response.status
    })
    expect(status).to.equal(200)
  })
})
