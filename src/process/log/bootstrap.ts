/**
 * How a control host with an empty data folder becomes a member of the log. The first membership is formed once, by the
 * first listed control host, when every listed control host answers that it has none. A host that finds the others
 * formed, because its disk was lost or because it is new, asks to join and never forms a second membership.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { type Replica, ReplicaRole } from './replica.ts'
import type { Identification, JoinRequest, Transport } from './replicaMessages.ts'
import { type Member, Standing } from './storage.ts'

const retryIntervalMs = 200

/** How long a member hears no leader before it asks to join again, in milliseconds: longer than an election takes. */
const leaderContactTimeoutMs = 3_000

/** How often a host asks to join until it is a member, in milliseconds. */
const joinIntervalMs = 1_000

/** What formation needs. */
export interface Bootstrap {
  readonly address: string
  readonly availabilityZone: string
  readonly controlHosts: readonly string[]
  /** Whether the first membership may be formed; true when it is not given. */
  readonly canBootstrap?: boolean
  /** How many voters there should be. */
  readonly voters: number
  readonly replica: Replica
  readonly transport: Transport
  readonly clock: Clock
  readonly logger: Logger
  readonly signal: AbortSignal
}

/**
 * Runs until the signal aborts: joins or forms a membership, and joins again when this replica was replaced.
 * @param bootstrap - what formation needs
 * @returns a promise that resolves at the end
 */
export async function runBootstrap (bootstrap: Bootstrap): Promise<void> {
  const { replica, clock, logger, signal } = bootstrap
  let isJoining = false
  while (!signal.aborted) {
    if (replica.identify().formed && !hasLostLeader(bootstrap)) {
      isJoining = false
      await clock.sleep(joinIntervalMs, signal)
      continue
    }
    const others = await identifyAll(bootstrap)
    const formedHosts = others.filter(host => host.formed)
    if (formedHosts.length > 0) {
      if (!isJoining) logger.write(LogEvents.joinAsked, { detail: replica.state.identity })
      isJoining = true
      await requestJoin(bootstrap, formedHosts)
      await clock.sleep(joinIntervalMs, signal)
      continue
    }
    if (!replica.identify().formed) await bootstrapIfFirst(bootstrap, others)
    await clock.sleep(retryIntervalMs, signal)
  }
}

// A member that was silent for long may have been replaced; the leader does not call it any more, so it asks to join again.
function hasLostLeader ({ replica, clock }: Bootstrap): boolean {
  return replica.state.role === ReplicaRole.Follower && clock.now() - replica.state.lastContactAt > leaderContactTimeoutMs
}

async function identifyAll (bootstrap: Bootstrap): Promise<Identification[]> {
  const others = bootstrap.controlHosts.filter(address => address !== bootstrap.address)
  const responses = await Promise.all(others.map(address => bootstrap.transport.identify(address)))
  const identifications: Identification[] = []
  for (const response of responses) {
    if (response.isOk()) identifications.push(response.value)
  }
  return identifications
}

// The leader's address comes first; the formed hosts themselves are asked when it is not known.
async function requestJoin (bootstrap: Bootstrap, formedHosts: readonly Identification[]): Promise<void> {
  const { replica, transport, address, availabilityZone } = bootstrap
  const request: JoinRequest = { identity: replica.state.identity, address, availabilityZone }
  const targets = new Set([...formedHosts.map(host => host.leaderAddress), ...formedHosts.map(host => host.address)])
  for (const target of targets) {
    if (bootstrap.signal.aborted) return
    if (target === undefined || target === address) continue
    const response = await transport.join(target, request)
    if (response.isOk()) return
  }
}

async function bootstrapIfFirst (bootstrap: Bootstrap, others: readonly Identification[]): Promise<boolean> {
  const { address, controlHosts, replica, transport, voters } = bootstrap
  if (bootstrap.canBootstrap === false || controlHosts[0] !== address || others.length + 1 < controlHosts.length) return false
  const members: Member[] = []
  for (const host of [replica.identify(), ...others]) {
    const standing = members.length < voters ? Standing.Voter : Standing.Learner
    members.push({ identity: host.identity, address: host.address, availabilityZone: host.availabilityZone, standing })
  }
  // The own copy is written first. Hosts that miss the message get the same membership with the first entries.
  if (!await replica.form(members)) return false
  for (const host of others) await transport.form(host.address, members)
  return true
}
