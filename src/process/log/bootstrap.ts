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

const retryMs = 200

/** How long a member hears no leader before it asks to join again, in milliseconds: longer than an election takes. */
const forgottenMs = 3_000

/** How often a host asks to join until it is a member, in milliseconds. */
const joinEveryMs = 1_000

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
 * @param formation - what formation needs
 * @returns a promise that resolves at the end
 */
export async function runBootstrap (formation: Bootstrap): Promise<void> {
  const { replica, clock, logger, signal } = formation
  let isJoining = false
  while (!signal.aborted) {
    if (replica.identify().formed && !isForgotten(formation)) {
      isJoining = false
      await clock.sleep(joinEveryMs, signal)
      continue
    }
    const found = await identifyAll(formation)
    const formed = found.filter(host => host.formed)
    if (formed.length > 0) {
      if (!isJoining) logger.write(LogEvents.joinRequested, { detail: replica.state.identity })
      isJoining = true
      await askToJoin(formation, formed)
      await clock.sleep(joinEveryMs, signal)
      continue
    }
    if (!replica.identify().formed) await formIfFirst(formation, found)
    await clock.sleep(retryMs, signal)
  }
}

// A member that was silent for long may have been replaced; the leader does not call it any more, so it asks to join again.
function isForgotten ({ replica, clock }: Bootstrap): boolean {
  return replica.state.role === ReplicaRole.Follower && clock.now() - replica.state.lastContactAt > forgottenMs
}

async function identifyAll (formation: Bootstrap): Promise<Identification[]> {
  const others = formation.controlHosts.filter(address => address !== formation.address)
  const answers = await Promise.all(others.map(address => formation.transport.identify(address)))
  const found: Identification[] = []
  for (const answer of answers) {
    if (answer.isOk()) found.push(answer.value)
  }
  return found
}

// The leader's address comes first; the formed hosts themselves are asked when it is not known.
async function askToJoin (formation: Bootstrap, formed: readonly Identification[]): Promise<void> {
  const { replica, transport, address, availabilityZone } = formation
  const request: JoinRequest = { identity: replica.state.identity, address, availabilityZone }
  const targets = new Set([...formed.map(host => host.leaderAddress), ...formed.map(host => host.address)])
  for (const target of targets) {
    if (formation.signal.aborted) return
    if (target === undefined || target === address) continue
    const answer = await transport.join(target, request)
    if (answer.isOk()) return
  }
}

async function formIfFirst (formation: Bootstrap, others: readonly Identification[]): Promise<boolean> {
  const { address, controlHosts, replica, transport, voters } = formation
  if (formation.canBootstrap === false || controlHosts[0] !== address || others.length + 1 < controlHosts.length) return false
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
