import { expect } from 'chai'
import { err } from 'neverthrow'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { confirmationValidityMs } from '../src/version/currentVersion.ts'
import { createEntrySide, yieldToEventLoop } from './support/entrySide.ts'
import { tables } from './support/stateCommands.ts'

describe('the version in force on an entry host', () => {
  let side: ReturnType<typeof createEntrySide>
  beforeEach(() => { side = createEntrySide() })
  afterEach(() => side.end.abort())

  const respondWithVersion = async (version: number) => await side.answerPoll({ version, configuration: { version, ...tables } })
  const isConfirmed = (): boolean => side.version.isConfirmed(side.clock.now())

  // An entry host without a recent confirmation may have missed a change of the tables, and would accept requests under the
  // old ones.
  it('is confirmed from the first response until 6 s after the last answered poll was sent', async () => {
    expect(isConfirmed()).to.equal(false)
    await respondWithVersion(1)
    await side.clock.advance(1_000)
    await respondWithVersion(2)
    expect(side.version.configuration.version).to.equal(2)
    await side.clock.advance(confirmationValidityMs - 1_001)
    expect(isConfirmed(), 'counted from the poll that was sent at the first response').to.equal(true)
    side.watches.shift()?.settle(err(createFailure(FailureReason.NoQuorum, { step: Step.Watch }, 'no majority')))
    await yieldToEventLoop()
    await side.clock.advance(1)
    expect(isConfirmed()).to.equal(false)
  })

  // Control hosts that have bootstrapped a new membership start from version 0; their responses must not replace newer tables.
  it('neither returns to an older version nor is confirmed by one', async () => {
    await respondWithVersion(5)
    await side.clock.advance(5_000)
    await respondWithVersion(4)
    await respondWithVersion(4)
    expect(side.version.configuration.version).to.equal(5)
    await side.clock.advance(1_000)
    expect(isConfirmed()).to.equal(false)
  })
})
