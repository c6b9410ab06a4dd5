import { expect } from 'chai'
import { request } from 'undici'
import { type FleetHost, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { decideOrders, concurrentLoadLimit, takeoverDelayMs, orderTimeoutMs, computeTakeoverDelayMs } from '../src/process/state/engineOrders.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'
import { sessionTimeoutMs } from '../src/process/state/sessions.ts'
import { type Pool, poolSchema } from '../src/version/tables.ts'
import { createAnnouncement } from './support/entryHosts.ts'
import { waitForServers, configureRoute } from '../scripts/fleetCalls.ts'
import type { RecordedOrder } from './standIn/standIn.ts'

async function readOrders (address: string): Promise<RecordedOrder[]> {
  return await (await request(`http://${address}/stand-in/orders`)).body.json() as RecordedOrder[]
}

function createPool (overrides: Partial<Pool>): Pool {
  return poolSchema.parse({ name: 'assist', models: ['m1'], ...overrides })
}

describe('orders to engines', () => {
  // Guards against all engines of a pool loading at once, which exceeds the rate of the weight store.
  it('stay within the limit of concurrent loads, and are sent only to engines that lack the model', () => {
    const announcements = Array.from({ length: 5 }, (_, number) => createAnnouncement({ address: `127.0.0.1:${number + 1}`, models: number === 0 ? ['m1'] : [] }))
    const first = decideOrders({ pool: createPool({}), announcements, underWay: [], now: 0 })
    expect(first.orders.map(order => order.backendServer)).to.deep.equal(['127.0.0.1:2', '127.0.0.1:3'])
    const underWay = first.orders.map(order => ({ ...order, orderedAt: 0 }))
    expect(underWay).to.have.length(concurrentLoadLimit)
    expect(decideOrders({ pool: createPool({}), announcements, underWay, now: 1 }).orders).to.deep.equal([])
    const loaded = announcements.map(engine => engine.address === '127.0.0.1:2' ? { ...engine, models: ['m1'] } : engine)
    expect(decideOrders({ pool: createPool({}), announcements: loaded, underWay, now: 1 }).orders.map(order => order.backendServer)).to.deep.equal(['127.0.0.1:4'])
  })

  // Guards against orders of two issuers at once where an engine does not reject the older fencing number.
  it('wait for those of an earlier issuer where an engine ignores the fencing number', () => {
    expect(takeoverDelayMs).to.be.above(sessionTimeoutMs + orderTimeoutMs)
    expect(computeTakeoverDelayMs(createPool({}), [createAnnouncement()], 2)).to.equal(0)
    expect(computeTakeoverDelayMs(createPool({}), [createAnnouncement({ fencingChecked: false })], 2)).to.equal(takeoverDelayMs)
    expect(computeTakeoverDelayMs(createPool({ fencing: 'ignored' }), [createAnnouncement()], 2)).to.equal(takeoverDelayMs)
    expect(computeTakeoverDelayMs(createPool({ fencing: 'ignored' }), [createAnnouncement()], 1)).to.equal(0)
  })

  for (const fencing of ['checked', 'ignored'] as const) {
    // Guards against a frozen issuer that still sends orders when it resumes, and against a next issuer that starts while
    // orders of the frozen one can still arrive.
    it(`have one issuer at a time after a freeze, with the fencing number ${fencing}`, async () => {
      const fleet = await startFleet({ controlHosts: 1, entryHosts: 2 })
      try {
        // The first loads outlast the freeze, so that the frozen issuer still has an engine to send an order to. On a busy
        // machine the freeze starts up to 4.3 s after the first orders.
        for (let number = 0; number < 3; number++) fleet.startStandIn(['--load-ms', '8000', ...(fencing === 'checked' ? [] : ['--no-fencing-checked'])])
        await configureRoute(fleet, { models: ['m1'], fencing })
        const servers = await waitForServers(fleet, 3)
        const readAllOrders = async (): Promise<RecordedOrder[]> => (await Promise.all(servers.map(readOrders))).flat().sort((left, right) => left.at - right.at)
        const findIssuerEvent = (host: FleetHost): string | undefined => host.program.errors().split('\n').find(line => line.includes(`"event":${LogEvents.orderIssuerChanged.number}`))
        const isIssuer = (host: FleetHost): boolean => findIssuerEvent(host) !== undefined
        await eventually('the first orders', 10_000, async () => (await readAllOrders()).length >= concurrentLoadLimit ? true : undefined)
        const issuer = fleet.entryHosts.find(isIssuer) as FleetHost
        const other = fleet.entryHosts.find(host => host !== issuer) as FleetHost
        issuer.program.child.kill('SIGSTOP')
        const frozenAt = Date.now()
        await eventually('another issuer', sessionTimeoutMs + 5_000, () => isIssuer(other) ? true : undefined)
        issuer.program.child.kill('SIGCONT')
        const laterOrders = await eventually('an order of the second issuer', takeoverDelayMs + 5_000, async () => {
          const matching = (await readAllOrders()).filter(order => order.number > 1)
          return matching.length > 0 ? matching : undefined
        })
        const acquiredAt = Date.parse((JSON.parse(findIssuerEvent(other) ?? '{}') as { time: string }).time)
        if (fencing === 'ignored') expect((laterOrders[0]?.at ?? 0) - acquiredAt).to.be.above(sessionTimeoutMs + orderTimeoutMs)
        await eventually('the model on all engines', 25_000, async () => {
          const status = await (await request(`http://${other.administrationAddress}/v1/status`)).body.json() as { entry: { backendServers: Array<{ models: string[] }> } }
          return status.entry.backendServers.every(server => server.models.includes('m1')) ? true : undefined
        })
        expect((await readAllOrders()).filter(order => order.number === 1 && order.at > frozenAt)).to.deep.equal([])
      } finally {
        await fleet.close()
      }
    })
  }
})
