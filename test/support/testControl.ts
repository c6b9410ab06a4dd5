/**
 * A single control host with a fake clock and in-memory storage.
 * @module
 */
import { errAsync } from 'neverthrow'
import { eventually } from '../../scripts/processes.ts'
import { type ControlHost, createControlHost } from '../../src/process/state/controlHost.ts'
import { createFailure, FailureReason, Step } from '../../src/process/program/failure.ts'
import type { Lifecycle } from '../../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../../src/process/program/logger.ts'
import { createMetrics } from '../../src/process/program/metrics.ts'
import { createSeededRandom } from '../../src/process/program/random.ts'
import type { FakeClock } from './fakeClock.ts'
import type { MemoryStorage } from './memoryStorage.ts'

/** Starts a control host and waits until it is the leader. */
export async function startTestControl (clock: FakeClock, storage: MemoryStorage, lifecycle: Lifecycle): Promise<ControlHost> {
  const transport: any = { identify: () => errAsync(createFailure(FailureReason.Timeout, { step: Step.Vote }, 'there is no other control host')) }
  const createResult = await createControlHost({
    address: 'c', availabilityZone: 'z', controlHosts: ['c'], voters: 3, storage, transport, clock, random: createSeededRandom(1), logger: createSilentLogger(), metrics: createMetrics(), lifecycle
  })
  const control = createResult._unsafeUnwrap()
  await eventually('a leader', 5_000, async () => {
    await clock.advance(100)
    return control.replica.state.role === 'leader' ? true : undefined
  })
  return control
}
