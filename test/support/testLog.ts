/**
 * A replicated log of several replicas in one process, on a fake clock, a test network and storage in memory.
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

/** One host of the test log. */
export interface TestHost {
  readonly address: string
  replica: Replica
  storage: MemoryStorage
  lifecycle: Lifecycle
  /** Names of applied commands in order. */
  applied: string[]
  /** Events written, with their subject. */
  readonly events: Array<{ event: LogEvent, detail: string | undefined }>
}

/** A test log. */
export interface TestLog {
  readonly clock: FakeClock
  readonly network: TestNetwork
  readonly random: Random
  readonly hosts: TestHost[]
  /** Starts a host with an empty data folder; it joins or forms by itself. */
  start (address: string): Promise<TestHost>
  /** Ends a host's process; unsynced records are lost. */
  crash (host: TestHost): Promise<void>
  /** Starts a crashed host on its disk, or on an empty one. */
  revive (host: TestHost, emptyDisk?: boolean): Promise<void>
  /** The leaders at present. */
  leaders (): TestHost[]
  /** Moves the time until there is one leader that all given hosts follow. */
  untilLeader (among?: readonly TestHost[]): Promise<TestHost>
  /** Moves the time until a check passes. */
  until (text: string, limitMs: number, check: () => boolean): Promise<void>
  /** Proposes a command and moves the time until it is decided. */
  propose (host: TestHost, name: string): Promise<boolean>
  close (): Promise<void>
}

/** Settings of a test log. */
export interface TestLogSettings {
  readonly addresses: readonly string[]
  readonly seed: number
  readonly voters?: number
  readonly compaction?: CompactionLimits
}

/**
 * Builds a command that carries a name.
 * @param name - the name
 * @returns the command
 */
export function commandNamed (name: string): Command {
  return { kind: CommandKind.DiscardUpload, upload: name }
}

/**
 * Starts a test log and forms its first membership.
 * @param settings - hosts, seed and limits
 * @returns the log
 */
export async function startTestLog (settings: TestLogSettings): Promise<TestLog> {
  const clock = new FakeClock()
  const random = createSeededRandom(settings.seed)
  const network = createTestNetwork(clock, random)
  const hosts: TestHost[] = []
  let disks = 0

  function newDisk (): MemoryStorage {
    return new MemoryStorage(`disk-${++disks}`)
  }

  async function run (host: TestHost): Promise<void> {
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
      exportParts: () => applied.map(name => ({ name })),
      importParts (parts) {
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

  // Calls under way run into their limits, which needs time on the fake clock.
  async function closeAll (closing: readonly TestHost[]): Promise<void> {
    const open = new Set(closing)
    for (const host of closing) host.lifecycle.close().finally(() => open.delete(host)).catch(() => {})
    while (open.size > 0) await clock.advance(100, 100)
  }

  const log: TestLog = {
    clock,
    network,
    random,
    hosts,
    async start (address) {
      const host = { address, storage: newDisk(), events: [] } as unknown as TestHost
      hosts.push(host)
      await run(host)
      return host
    },
    async crash (host) {
      network.replicas.delete(host.address)
      host.storage = host.storage.restart()
      await closeAll([host])
    },
    async revive (host, emptyDisk = false) {
      if (emptyDisk) host.storage = newDisk()
      await run(host)
    },
    leaders: () => hosts.filter(host => network.replicas.get(host.address) === host.replica && host.replica.state.role === ReplicaRole.Leader),
    async untilLeader (among = hosts) {
      const agreed = (): TestHost | undefined => among.find(host => host.replica.state.role === ReplicaRole.Leader &&
        among.every(other => other.replica.state.leaderAddress === host.address))
      await log.until('one leader', 20_000, () => agreed() !== undefined)
      return agreed() as TestHost
    },
    async until (text, limitMs, check) {
      const end = clock.now() + limitMs
      await runPendingTasks()
      while (!check()) {
        if (clock.now() >= end) throw new Error(`not seen within ${limitMs} ms (seed ${settings.seed}): ${text}`)
        await clock.advance(10)
      }
    },
    async propose (host, name) {
      let accepted: boolean | undefined
      host.replica.propose(commandNamed(name)).match(() => { accepted = true }, () => { accepted = false })
      await log.until(`the end of ${name}`, 10_000, () => accepted !== undefined)
      return accepted === true
    },
    async close () {
      await closeAll(hosts)
    }
  }
  for (const address of settings.addresses) await log.start(address)
  return log
}
