import { expect } from 'chai'
import { ResultAsync } from 'neverthrow'
import { setImmediate } from 'node:timers/promises'
import { eventually } from '../scripts/processes.ts'
import { runEntryPeer } from '../src/connection/entryPeer.ts'
import type { InternalClients } from '../src/connection/internalClient.ts'
import { createRenewal, type Share, type ShareResponse } from '../src/connection/share.ts'
import { announcementTtlMs, type BackendServers, createBackendServers } from '../src/process/routing/backendServers.ts'
import { Clock, createSystemClock } from '../src/process/program/clock.ts'
import { toFailure } from '../src/process/program/failure.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createSharedUpdates, type SharedUpdates } from '../src/process/routing/sharedUpdates.ts'
import { createAnnouncement } from './support/entryHosts.ts'

/** Section 9 of the design page: announcements are shared with every entry host within two seconds. */
const propagationLimitMs = 2_000
const address = '127.0.0.1:1'

/** A clock that stands still until the test sets it; a sleep only yields to the event loop. */
class TestClock extends Clock {
  time = 0
  override now = (): number => this.time
  override wallTime = (): number => this.time
  override sleep = async (): Promise<void> => await setImmediate()
}

function createReceiver (clock: Clock = new TestClock()): BackendServers {
  return createBackendServers(clock, createSilentLogger())
}

async function runPeer (clock: Clock, receive: (share: Share) => ShareResponse, run: (updates: SharedUpdates) => Promise<void>): Promise<void> {
  const updates = createSharedUpdates(clock)
  const call = (...[, , step, , send]: Parameters<InternalClients['call']>) => {
    const client = { entry: { share: { mutate: async (share: Share) => receive(share) } } } as unknown as Parameters<typeof send>[0]
    return ResultAsync.fromPromise(send(client, new AbortController().signal), error => toFailure(error, { step, peer: address }))
  }
  const end = new AbortController()
  const task = runEntryPeer({ address, host: 'a', updates, clients: { call } as InternalClients, clock, signal: end.signal })
  try {
    await run(updates)
  } finally {
    end.abort()
    await task
  }
}

describe('renewals of announcements', () => {
  // Guards against a receiver that lost a share or was restarted and then receives only renewals, never the announcement.
  for (const fault of ['lost request', 'lost reply', 'restarted receiver'] as const) {
    it(`lose no announcement with a ${fault}`, async () => {
      const clock = createSystemClock()
      const shares: Share[] = []
      let receiver = createReceiver(clock)
      await runPeer(clock, share => {
        shares.push(share)
        if (fault === 'lost request' && shares.length === 1) throw new Error('connection reset')
        for (const { announcement, ageMs } of share.announcements) receiver.recordAnnouncement(announcement, ageMs)
        const unheld = share.renewals.filter(renewal => !receiver.renew(renewal)).map(renewal => renewal.address)
        if (fault === 'lost reply' && shares.length === 1) throw new Error('connection reset')
        return { unheld }
      }, async updates => {
        updates.addAnnouncement(createAnnouncement())
        await eventually('the first share', propagationLimitMs, () => shares.length > 0 ? true : undefined)
        if (fault === 'restarted receiver') receiver = createReceiver(clock)
        updates.addAnnouncement(createAnnouncement({ sequence: 2, running: 5 }))
        await eventually('the renewal', propagationLimitMs, () => receiver.find(address)?.announcement.running === 5 ? true : undefined)
        expect(shares[1]?.announcements).to.have.length(fault === 'restarted receiver' ? 0 : 1)
      })
    })
  }

  // Guards against a separate message for each renewal.
  it('are delayed to be batched, and sent with the next change', async () => {
    const shares: Share[] = []
    await runPeer(new TestClock(), share => ({ unheld: [], count: shares.push(share) }), async updates => {
      updates.addAnnouncement(createAnnouncement())
      await eventually('the first share', propagationLimitMs, () => shares.length > 0 ? true : undefined)
      updates.addAnnouncement(createAnnouncement({ sequence: 2 }))
      for (let turn = 0; turn < 20; turn++) await setImmediate()
      updates.addAnnouncement(createAnnouncement({ address: '127.0.0.1:2' }))
      await eventually('the second share', propagationLimitMs, () => shares.length > 1 ? true : undefined)
      expect([shares[1]?.renewals.length, shares[1]?.announcements.length]).to.deep.equal([1, 1])
    })
  })

  // Guards against renewing a record that has expired but is not removed yet, when it has to be announced again.
  it('do not restore an expired announcement', () => {
    const clock = new TestClock()
    const receiver = createReceiver(clock)
    receiver.recordAnnouncement(createAnnouncement(), 0)
    clock.time += announcementTtlMs
    expect(receiver.renew(createRenewal(createAnnouncement({ sequence: 2 }), 0))).to.equal(false)
    expect(receiver.list()).to.deep.equal([])
  })

  // Guards against requesting the full announcement of an old incarnation with each of its renewals, and against an old
  // incarnation that replaces the newer one.
  it('of an older incarnation change nothing, and those of a newer one request the full announcement', () => {
    const receiver = createReceiver()
    receiver.recordAnnouncement(createAnnouncement({ incarnation: '2' }), 0)
    expect(receiver.renew(createRenewal(createAnnouncement({ incarnation: '1', sequence: 9 }), 0))).to.equal(true)
    expect(receiver.find(address)?.announcement).to.include({ incarnation: '2', sequence: 1 })
    expect(receiver.renew(createRenewal(createAnnouncement({ incarnation: '3' }), 0))).to.equal(false)
  })

  // Guards against a backend server that one host reported as leaving and that renewals of another host keep in that state.
  it('do not renew an announcement whose content differs from theirs', () => {
    const receiver = createReceiver()
    receiver.recordAnnouncement(createAnnouncement({ sequence: 5, leaving: true }), 0)
    expect(receiver.renew(createRenewal(createAnnouncement({ sequence: 6 }), 0))).to.equal(false)
  })

  // Guards against changes and crash reports that are delayed together with renewals.
  it('are the only updates that are delayed', () => {
    const updates = createSharedUpdates(new TestClock())
    const areUrgent = [{}, { sequence: 2, running: 3 }, { sequence: 3, leaving: true }, { incarnation: '2' }].map(change => {
      updates.addAnnouncement(createAnnouncement(change))
      return updates.urgentRevision === updates.revision
    })
    updates.addCrashReport({ fingerprint: 'poison', backendServer: 'x', incarnation: '1', ageMs: 0 })
    expect([...areUrgent, updates.urgentRevision === updates.revision]).to.deep.equal([true, false, true, true, true])
  })
})
