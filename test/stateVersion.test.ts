import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { eventually } from '../scripts/processes.ts'
import { createControlStream } from '../src/connection/controlStream.ts'
import { createFailure, FailureReason, Step } from '../src/process/failure.ts'
import { createSilentLogger } from '../src/process/logger.ts'
import { createSeededRandom } from '../src/process/random.ts'
import { confirmationLimitMs, createCurrentVersion } from '../src/version/currentVersion.ts'
import { tables } from './support/stateCommands.ts'
import { SteppedClock } from './support/steppedClock.ts'

describe('the version in force on an entry host', () => {
  const end = new AbortController()
  after(() => end.abort())

  function createStream () {
    const clock = new SteppedClock()
    const version = createCurrentVersion()
    const polls: Array<(result: unknown) => void> = []
    const control: any = { watch: () => new Promise(resolve => polls.push(resolve)) }
    const stream = createControlStream({
      control,
      version,
      clock,
      random: createSeededRandom(1),
      logger: createSilentLogger(),
      signal: end.signal,
      describe: () => ({ holder: 'h' }) as any,
      stopJobs: async () => {},
      stopAll: () => {}
    })
    stream.run().catch(() => {})
    async function reply (result: unknown): Promise<void> {
      const settle = await eventually('a poll', 2_000, () => polls.shift())
      settle(result)
      await new Promise(resolve => setImmediate(resolve))
    }
    const answer = (number: number) => ok({
      version: number, configuration: { version: number, ...tables }, directoryRevision: '', appliedIndex: 1, cancelledJobs: []
    })
    return { clock, version, reply, answer }
  }

  // Without a confirmed answer a host may be the only one that missed a change.
  it('takes requests only from the first answer until 6 s after the last answered poll was sent', async () => {
    const { clock, version, reply, answer } = createStream()
    expect(version.isConfirmed(clock.now())).to.equal(false)
    await reply(answer(1))
    clock.advance(1_000)
    await reply(answer(2))
    expect(version.configuration.version).to.equal(2)
    clock.advance(confirmationLimitMs - 1_001)
    expect(version.isConfirmed(clock.now()), 'counted from the poll that was sent at the first answer').to.equal(true)
    await reply(err(createFailure(FailureReason.NoQuorum, { step: Step.Watch }, 'no majority')))
    clock.advance(1)
    expect(version.isConfirmed(clock.now())).to.equal(false)
  })

  // Control hosts that were formed anew start from version 0.
  it('neither goes back to an older version nor takes it for a confirmation', async () => {
    const { clock, version, reply, answer } = createStream()
    await reply(answer(5))
    clock.advance(5_000)
    await reply(answer(4))
    await reply(answer(4))
    expect(version.configuration.version).to.equal(5)
    clock.advance(1_000)
    expect(version.isConfirmed(clock.now())).to.equal(false)
  })
})
