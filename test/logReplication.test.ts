import { expect } from 'chai'
import { encodeRecord } from '../src/process/log/recordCodec.ts'
import { approximateBytes, entriesFrom } from '../src/process/log/replicaLog.ts'
import { emptyPoint, type Entry, PayloadKind } from '../src/process/log/storage.ts'
import { CommandKind } from '../src/process/state/commands.ts'

const bodyBytes = 15_000

function createSubmission (index: number): Entry {
  const items = Array.from({ length: 10 }, (_, number) => ({ id: `${number}`, path: '/p/1', headers: { 'x-model': 'm' }, body: Buffer.alloc(bodyBytes, number), tokens: 100 }))
  const submission = { id: `job-${index}`, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }
  return { index, term: 1, payload: { kind: PayloadKind.Command, command: { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 } } }
}

describe('replication of the log', () => {
  // A body counted element by element was estimated at 13 times its size, so a job took a request of its own and two jobs a
  // snapshot, and each estimate took 15 ms of the leader's CPU time.
  it('estimates an entry with bodies at about its encoded size', () => {
    const { payload } = createSubmission(1)
    const encodedBytes = encodeRecord(payload).length
    expect(approximateBytes(payload)).to.be.within(encodedBytes, encodedBytes * 1.1)
    expect(entriesFrom({ base: emptyPoint, entries: [1, 2, 3].map(createSubmission) }, 1, 10, 1024 * 1024)).to.have.lengthOf(3)
  })
})
