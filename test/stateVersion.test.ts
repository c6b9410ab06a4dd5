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

  const reply = async (version: number) => await side.answerPoll({ version, configuration: { version, ...tables } })
  const isConfirmed = (): boolean => side.version.isConfirmed(side.clock.now())

  // Without a confirmed answer a host may be the only one that missed a change.
  it('takes requests only from the first answer until 6 s after the last answered poll was sent', async () => {
    expect(isConfirmed()).to.equal(false)
    await reply(1)
    await side.clock.advance(1_000)
    await reply(2)
    expect(side.version.configuration.version).to.equal(2)
    await side.clock.advance(confirmationValidityMs - 1_001)
    expect(isConfirmed(), 'counted from the poll that was sent at the first answer').to.equal(true)
    side.watches.shift()?.settle(err(createFailure(FailureReason.NoQuorum, { step: Step.Watch }, 'no majority')))
    await yieldToEventLoop()
    await side.clock.advance(1)
    expect(isConfirmed()).to.equal(false)
  })

  // Control hosts that were formed anew start from version 0.
  it('neither goes back to an older version nor takes it for a confirmation', async () => {
    await reply(5)
    await side.clock.advance(5_000)
    await reply(4)
    await reply(4)
    expect(side.version.configuration.version).to.equal(5)
    await side.clock.advance(1_000)
    expect(isConfirmed()).to.equal(false)
  })
})
