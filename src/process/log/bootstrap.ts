/**
 * Bootstrap of the replicated log, and joining of control hosts with an empty data folder. The first listed control host
 * creates the first membership, once every listed control host has responded that it has none. A host that finds members
 * among the others, because its disk was lost or because it is new, requests to join and never creates a second
 * membership.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { type Replica, ReplicaRole } from './replica.ts'
import type { Identification, JoinRequest, Transport } from './replicaMessages.ts'
import { type Member, Standing } from './storage.ts'

/** Interval at which a host without a membership queries the other control hosts, in milliseconds. */
const retryIntervalMs = 200

/** Time without contact with a leader after which a member requests to join again, in milliseconds; longer than an election. */
const leaderContactTimeoutMs = 3_000

/** Interval at which a host requests to join, and at which a member checks its contact with the leader, in milliseconds. */
const joinIntervalMs = 1_000

/** Dependencies and settings of the bootstrap. */
export interface Bootstrap {
  readonly address: string
  readonly availabilityZone: string
  /** Internal addresses of the listed control hosts; the first of them creates the first membership. */
  readonly controlHosts: readonly string[]
  /** Whether this host may create the first membership; default true. */
  readonly canBootstrap?: boolean
  /** Target number of voters. */
  readonly voters: number
  readonly replica: Replica
  readonly transport: Transport
  readonly clock: Clock
  readonly logger: Logger
  readonly signal: AbortSignal
}

/**
 * Joins or creates a membership, and joins again after this replica was replaced, until the signal aborts.
 * @param bootstrap - dependencies and settings
 * @returns a promise that resolves when the task has ended
 */
export async function runBootstrap (bootstrap: Bootstrap): Promise<void> {
  const { replica, clock, signal } = bootstrap
  let isJoining = false
  while (!signal.aborted) {
    if (replica.identify().formed && !hasLostLeader(bootstrap)) {
      isJoining = false
      await clock.sleep(joinIntervalMs, signal)
      continue
    }
    const others = await identifyOthers(bootstrap)
    const formedHosts = others.filter(host => host.formed)
    if (formedHosts.length > 0) {
      if (!isJoining) logJoinRequest(bootstrap)
      isJoining = true
      const isRequested = await requestJoin(bootstrap, formedHosts)
      await clock.sleep(isRequested ? joinIntervalMs : retryIntervalMs, signal)
      continue
    }
    if (!replica.identify().formed) await bootstrapIfFirst(bootstrap, others)
    await clock.sleep(retryIntervalMs, signal)
  }
}

// A member that did not respond for a long time may have been removed from the membership; the leader then sends it no
// more requests, so the member requests to join again.
function hasLostLeader ({ replica, clock }: Bootstrap): boolean {
  return replica.state.role === ReplicaRole.Follower && clock.now() - replica.state.lastContactAt > leaderContactTimeoutMs
}

function logJoinRequest ({ replica, clock, logger }: Bootstrap): void {
  const { identity, lastContactAt } = replica.state
  if (!replica.identify().formed) return logger.write(LogEvents.joinRequested, { detail: identity })
  logger.write(LogEvents.leaderContactLost, { detail: identity, value: Math.round(clock.now() - lastContactAt) })
}

// Returns the hosts that have responded when all have, or when one of them knows the leader: a host that is gone responds to
// nothing, and the membership must not wait for it.
async function identifyOthers (bootstrap: Bootstrap): Promise<Identification[]> {
  const identifications: Identification[] = []
  const others = bootstrap.controlHosts.filter(address => address !== bootstrap.address)
  return await new Promise((resolve, reject) => {
    let pending = others.length
    if (pending === 0) resolve(identifications)
    for (const address of others) {
      bootstrap.transport.identify(address).then(response => {
        pending--
        if (response.isOk()) identifications.push(response.value)
        if (pending === 0 || (response.isOk() && response.value.formed && response.value.leaderAddress !== undefined)) resolve([...identifications])
      }, reject)
    }
  })
}

// Tries the reported leader addresses first, then the members themselves. Returns whether one of them has taken the request.
async function requestJoin (bootstrap: Bootstrap, formedHosts: readonly Identification[]): Promise<boolean> {
  const { replica, transport, address, availabilityZone } = bootstrap
  const request: JoinRequest = { identity: replica.state.identity, address, availabilityZone }
  const targets = new Set([...formedHosts.map(host => host.leaderAddress), ...formedHosts.map(host => host.address)])
  for (const target of targets) {
    if (bootstrap.signal.aborted) return false
    if (target === undefined || target === address) continue
    const response = await transport.join(target, request)
    if (response.isOk()) return true
  }
  return false
}

// Returns whether this host created the first membership.
async function bootstrapIfFirst (bootstrap: Bootstrap, others: readonly Identification[]): Promise<boolean> {
  const { address, controlHosts, replica, transport, voters } = bootstrap
  if (bootstrap.canBootstrap === false || controlHosts[0] !== address || others.length + 1 < controlHosts.length) return false
  const members: Member[] = []
  for (const host of [replica.identify(), ...others]) {
    const standing = members.length < voters ? Standing.Voter : Standing.Learner
    members.push({ identity: host.identity, address: host.address, availabilityZone: host.availabilityZone, standing })
  }
  // The local copy is written first. A host that misses the request gets the same membership with the first entries.
  if (!await replica.form(members)) return false
  for (const host of others) await transport.form(host.address, members)
  return true
}
