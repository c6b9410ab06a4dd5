import { expect } from 'chai'
import { startTestLog, type TestLog } from './support/testLog.ts'

const readCount = 200

describe('confirmed reads of a leader', () => {
  let log: TestLog

  afterEach(() => log.close())

  // Guards against a leader whose time is taken by checking every pending read whenever a follower responds, so that no read ends in time.
  it('that begin together need one round, and those that begin later need a later one', async () => {
    log = await startTestLog({ addresses: ['a:1', 'b:1', 'c:1'], seed: 41 })
    const leader = await log.waitForLeader()
    await log.clock.advance(500)
    const { readRound } = leader.replica.state
    for (let batch = 1; batch <= 3; batch++) {
      const reads = Array.from({ length: readCount }, () => leader.replica.confirmRead())
      await log.clock.advance(300)
      for (const read of reads) expect((await read).isOk()).to.equal(true)
      expect(leader.replica.state.readRound).to.equal(readRound + batch)
    }
  })
})
