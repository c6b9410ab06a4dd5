import { expect } from 'chai'
import { errAsync } from 'neverthrow'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { CallMessage } from '../src/connection/callConnection.ts'
import { encodeMessage, readMessages } from '../src/connection/frames.ts'
import { eventually } from '../scripts/processes.ts'
import { runEntryPeer } from '../src/connection/entryPeer.ts'
import { createInternalClients, type InternalClients } from '../src/connection/internalClient.ts'
import type { Share } from '../src/connection/share.ts'
import { announcementTtlMs } from '../src/process/routing/backendServers.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSharedUpdates } from '../src/process/routing/sharedUpdates.ts'
import { createAnnouncement, createEntryHosts, type EntryHosts, type StartedEntryHost } from './support/entryHosts.ts'

/** Section 9 of the design page: announcements are shared with every entry host within two seconds. */
const propagationLimitMs = 2_000

function waitForSequence (entry: StartedEntryHost, address: string, sequence: number): Promise<boolean> {
  return eventually(`sequence ${sequence} on ${entry.callerAddress}`, propagationLimitMs, () =>
    (entry.getSequence(address) ?? -1) >= sequence ? true : undefined)
}

describe('announcements among entry hosts', () => {
  let entryHosts: EntryHosts

  beforeEach(() => { entryHosts = createEntryHosts() })
  afterEach(() => entryHosts.close())

  // Guards against announcements that spread too slowly, or only from some entry hosts.
  it('reach every one of 12 entry hosts within two seconds, whichever receives them', async () => {
    const hosts: StartedEntryHost[] = []
    for (let number = 0; number < 12; number++) hosts.push(await entryHosts.start(`entry-${number}`))
    for (const [sequence, receiver] of [[1, 0], [2, 7]] as const) {
      const announcement = createAnnouncement({ sequence })
      await hosts[receiver]?.announce(announcement)
      await Promise.all(hosts.map(host => waitForSequence(host, announcement.address, sequence)))
    }
  })

  // Guards against losing a backend server together with the entry host that it announced itself to.
  it('outlive the host that received them until they expire, and are renewed through another one', async () => {
    const [first, second, third] = [await entryHosts.start('a'), await entryHosts.start('b'), await entryHosts.start('c')]
    const announcedAt = performance.now()
    await first.announce(createAnnouncement())
    await waitForSequence(third, '127.0.0.1:1', 1)
    await first.lifecycle.close()
    expect(third.getSequence('127.0.0.1:1')).to.equal(1)
    await second.announce(createAnnouncement({ sequence: 2 }))
    await waitForSequence(third, '127.0.0.1:1', 2)
    await eventually('the expiry', announcementTtlMs + 1_000, () => third.getSequence('127.0.0.1:1') === undefined ? true : undefined)
    expect(performance.now() - announcedAt).to.be.at.least(announcementTtlMs)
  })

  // Guards against a new entry host that receives only later changes.
  it('reach an entry host that starts later', async () => {
    const first = await entryHosts.start('a')
    await first.announce(createAnnouncement())
    await waitForSequence(await entryHosts.start('b'), '127.0.0.1:1', 1)
  })

  // Guards against a peer task that is kept by address, so that a restarted peer receives nothing that was sent before.
  it('reach a peer that restarted under the same address and lost its state', async () => {
    const first = await entryHosts.start('a')
    const second = await entryHosts.start('b')
    await first.announce(createAnnouncement())
    await waitForSequence(second, '127.0.0.1:1', 1)
    await second.lifecycle.close()
    await waitForSequence(await entryHosts.start('b', second), '127.0.0.1:1', 1)
  })

  // Guards against an older announcement that arrives through another host and overwrites a newer one.
  it('are ordered by incarnation and sequence when they arrive by two paths', async () => {
    const first = await entryHosts.start('a')
    const second = await entryHosts.start('b')
    await first.announce(createAnnouncement({ incarnation: '2', sequence: 1, running: 7 }))
    await waitForSequence(second, '127.0.0.1:1', 1)
    // An older incarnation, an older sequence and a repeated one change nothing, whichever host they arrive at.
    await second.announce(createAnnouncement({ incarnation: '2', sequence: 0 }))
    await second.announce(createAnnouncement({ incarnation: '2', sequence: 1, running: 3 }))
    await second.announce(createAnnouncement({ incarnation: '1', sequence: 9 }))
    await second.announce(createAnnouncement({ address: '127.0.0.1:2' }))
    await waitForSequence(first, '127.0.0.1:2', 1)
    for (const entry of [first, second]) {
      const server = entry.host.backendServers.list().find(candidate => candidate.announcement.address === '127.0.0.1:1')
      expect(server?.announcement).to.include({ incarnation: '2', sequence: 1, running: 7 })
    }
    // The host that received the older incarnation must not share it with a new entry host once the other host has stopped.
    await first.lifecycle.close()
    const third = await entryHosts.start('c')
    await waitForSequence(third, '127.0.0.1:2', 1)
    const knownServers = third.host.backendServers.list().map(server => `${server.announcement.address} ${server.announcement.incarnation}`)
    expect(knownServers).not.to.include('127.0.0.1:1 1')
  })
})

describe('the task of a peer entry host', () => {
  const lifecycle = createLifecycle()
  const clock = createSystemClock()
  after(() => lifecycle.close())

  async function shareUntil (clients: InternalClients, address: string, isDone: () => boolean): Promise<void> {
    const updates = createSharedUpdates(clock)
    const end = new AbortController()
    const task = runEntryPeer({ address, host: 'a', updates, clients, clock, signal: end.signal })
    updates.addAnnouncement(createAnnouncement())
    try {
      await eventually('the share', propagationLimitMs, () => isDone() ? true : undefined)
    } finally {
      end.abort()
      await task
    }
  }

  // Guards against counting a share as delivered when its response was lost, or when a starting host did not accept it.
  for (const response of ['lost', 'false'] as const) {
    it(`sends a share again when the response was ${response}`, async () => {
      let calls = 0
      const clients: InternalClients = {
        ...createInternalClients(lifecycle),
        call: ((...[, , step]: Parameters<InternalClients['call']>) => {
          calls++
          if (response === 'lost') return errAsync(createFailure(FailureReason.Reset, { step }, 'connection reset'))
          return createInternalClients(lifecycle).call('', 'control', Step.Share, 1, async () => false)
        }) as InternalClients['call']
      }
      await shareUntil(clients, '127.0.0.1:1', () => calls > 1)
    })
  }

  // Guards against an unresponsive connection that blocks every later share.
  it('gives up an unresponsive connection and delivers on a new one within two seconds', async () => {
    const shares: Share[] = []
    const sockets: Socket[] = []
    const server = createServer(socket => {
      sockets.push(socket)
      if (sockets.length === 1) return
      readMessages(socket, message => {
        const [number, , input] = message as CallMessage
        shares.push(input as Share)
        socket.write(encodeMessage([number, { unheld: [] }, undefined], Infinity) as Buffer)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    try {
      await shareUntil(createInternalClients(lifecycle), `127.0.0.1:${(server.address() as AddressInfo).port}`, () => shares.length > 0)
      expect(shares[0]?.announcements).to.have.length(1)
    } finally {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
})
