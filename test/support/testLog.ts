/**
 * A replicated log whose replicas run in one process, on a fake clock, a test network and in-memory storage.
 * @module
 */
import { createSeededRandom, type Random } from '../../src/process/program/random.ts'
import { type Command, CommandKind, done } from '../../src/process/state/commands.ts'
import { createLifecycle, type Lifecycle } from '../../src/process/program/lifecycle.ts'
import type { LogEvent } from '../../src/process/program/logEvents.ts'
import { createMetrics } from '../../src/process/program/metrics.ts'
import { createReplica, type Replica, ReplicaRole } from '../../src/process/log/replica.ts'
import type { CompactionLimits } from '../../src/process/log/replicaState.ts'
import { runBootstrap } from '../../src/process/log/bootstrap.ts'
import type { Storage } from '../../src/process/log/storage.ts'
import { FakeClock, runPendingTasks } from './fakeClock.ts'
import { MemoryStorage } from './memoryStorage.ts'
import { createTestNetwork, type TestNetwork } from './testNetwork.ts'

/** A control host of the test log. */
export interface TestHost {
  readonly address: string
  replica: Replica
  storage: MemoryStorage
  lifecycle: Lifecycle
  /** Names of the applied commands, in order of application. */
  applied: string[]
  /** Logged events with their details. */
  readonly events: Array<{ event: LogEvent, detail: string | undefined }>
}

/** A replicated log under test. */
export interface TestLog {
  readonly clock: FakeClock
  readonly network: TestNetwork
  readonly random: Random
  readonly hosts: TestHost[]
  /** Starts a host on an empty disk; it bootstraps or joins the membership by itself. */
  start (address: string): Promise<TestHost>
  /** Ends a host's process; unsynced records are lost. */
  crash (host: TestHost): Promise<void>
  /** Restarts a crashed host on its disk, or on an empty one. */
  restart (host: TestHost, emptyDisk?: boolean): Promise<void>
  /** Returns the running hosts that are leaders. */
  leaders (): TestHost[]
  /** Advances the clock until all given hosts follow the same leader among them. */
  waitForLeader (among?: readonly TestHost[]): Promise<TestHost>
  /**
   * Advances the clock until a condition holds.
   * @throws Error that names the condition and the seed when it does not hold within `timeoutMs`
   */
  waitUntil (text: string, timeoutMs: number, check: () => boolean): Promise<void>
  /** Proposes a command and advances the clock until it is accepted or refused. */
  propose (host: TestHost, name: string): Promise<boolean>
  close (): Promise<void>
}

/** Settings of a test log. */
export interface TestLogSettings {
  /** Addresses of the hosts that form the first membership. */
  readonly addresses: readonly string[]
  readonly seed: number
  /** Target number of voters; 3 by default. */
  readonly voters?: number
  readonly compaction?: CompactionLimits
}

/**
 * Creates a command that carries a name. The state machine of the test log records the names in order of application.
 * @param name - the name
 * @returns the command
 */
export function commandNamed (name: string): Command {
  return { kind: CommandKind.DiscardUpload, upload: name }
}

/**
 * Starts a test log, which bootstraps its first membership.
 * @param settings - hosts, seed and limits
 * @returns the log
 */
export async function startTestLog (settings: TestLogSettings): Promise<TestLog> {
  const clock = new FakeClock()
  const random = createSeededRandom(settings.seed)
  const network = createTestNetwork(clock, random)
  const hosts: TestHost[] = []
  let disks = 0

  function createDisk (): MemoryStorage {
    return new MemoryStorage(`disk-${++disks}`)
  }

  async function startReplica (host: TestHost): Promise<void> {
    const lifecycle = createLifecycle()
    const applied: string[] = []
    const logger = { write (event: LogEvent, subject: { detail?: string } = {}) { host.events.push({ event, detail: subject.detail }) } }
    const { address } = host
    const transport = network.transportOf(address)
    const shared = { address, availabilityZone: 'zone-a', voters: settings.voters ?? 3, transport, clock, logger }
    const created = await createReplica({
      ...shared,
      storage: host.storage as Storage,
      random,
      metrics: createMetrics(),
      lifecycle,
      ...(settings.compaction === undefined ? {} : { compaction: settings.compaction }),
      apply (command) {
        if (command.kind === CommandKind.DiscardUpload) applied.push(command.upload)
        return done
      },
      exportChunks: () => applied.map(name => ({ name })),
      importChunks (parts) {
        applied.length = 0
        for (const part of parts) applied.push((part as { name: string }).name)
      }
    })
    if (created.isErr()) throw created.error
    host.replica = created.value
    host.lifecycle = lifecycle
    host.applied = applied
    network.replicas.set(address, created.value)
    lifecycle.run(signal => runBootstrap({ ...shared, controlHosts: settings.addresses, replica: created.value, signal }))
  }

  // Calls in flight end by their timeouts, which requires that the fake clock advances.
  async function closeAll (hostsToClose: readonly TestHost[]): Promise<void> {
    const pending = new Set(hostsToClose)
    for (const host of hostsToClose) host.lifecycle.close().finally(() => pending.delete(host)).catch(() => {})
    while (pending.size > 0) await clock.advance(100, 100)
  }

  const log: TestLog = {
    clock,
    network,
    random,
    hosts,
    async start (address) {
      const host = { address, storage: createDisk(), events: [] } as unknown as TestHost
      hosts.push(host)
      await startReplica(host)
      return host
    },
    async crash (host) {
      network.replicas.delete(host.address)
      host.storage = host.storage.restart()
      await closeAll([host])
    },
    async restart (host, emptyDisk = false) {
      if (emptyDisk) host.storage = createDisk()
      await startReplica(host)
    },
    leaders: () => hosts.filter(host => network.replicas.get(host.address) === host.replica && host.replica.state.role === ReplicaRole.Leader),
    async waitForLeader (among = hosts) {
      const findAgreedLeader = (): TestHost | undefined => among.find(host => host.replica.state.role === ReplicaRole.Leader &&
        among.every(other => other.replica.state.leaderAddress === host.address))
      await log.waitUntil('a leader that all hosts follow', 20_000, () => findAgreedLeader() !== undefined)
      return findAgreedLeader() as TestHost
    },
    async waitUntil (text, timeoutMs, check) {
      const deadline = clock.now() + timeoutMs
      await runPendingTasks()
      while (!check()) {
        if (clock.now() >= deadline) throw new Error(`condition not met within ${timeoutMs} ms (seed ${settings.seed}): ${text}`)
        await clock.advance(10)
      }
    },
    async propose (host, name) {
      let accepted: boolean | undefined
      host.replica.propose(commandNamed(name)).match(() => { accepted = true }, () => { accepted = false })
      await log.waitUntil(`the outcome of ${name}`, 10_000, () => accepted !== undefined)
      return accepted === true
    },
    async close () {
      await closeAll(hosts)
    }
  }
  for (const address of settings.addresses) await log.start(address)
  return log
}
