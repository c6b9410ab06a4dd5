/**
 * The first membership of the log. It is formed once, by the first listed control host, when every listed control host
 * answers that it has none. A host whose disk was lost later finds the others formed and never forms a second one.
 * @module
 */
import type { Clock } from './clock.ts'
import type { Replica } from './replica.ts'
import type { Identification, Transport } from './replicaMessages.ts'
import { type Member, Standing } from './storage.ts'

const retryMs = 200

/** What formation needs. */
export interface Formation {
  readonly address: string
  readonly controlHosts: readonly string[]
  readonly replica: Replica
  readonly transport: Transport
  readonly clock: Clock
  readonly signal: AbortSignal
}

/**
 * Runs until this replica has a membership.
 * @param formation - what formation needs
 * @returns a promise that resolves at the end
 */
export async function runFormation (formation: Formation): Promise<void> {
  const { address, controlHosts, replica, transport, clock, signal } = formation
  while (!signal.aborted) {
    if (replica.identify().formed) return finishFormation(formation)
    if (controlHosts[0] === address) {
      const members = await gatherMembers(formation)
      if (members !== undefined) {
        // The own copy is written first: a restart in between sends the same membership again.
        await replica.form(members)
        continue
      }
    }
    await clock.sleep(retryMs, signal)
  }
  async function finishFormation ({ replica: formed }: Formation): Promise<void> {
    if (controlHosts[0] !== address || formed.state.commitIndex > 0) return
    for (const member of formed.state.members) {
      if (member.identity === formed.state.identity) continue
      await transport.form(member.address, formed.state.members)
    }
  }
}

async function gatherMembers (formation: Formation): Promise<Member[] | undefined> {
  const members: Member[] = []
  for (const address of formation.controlHosts) {
    const found = address === formation.address ? formation.replica.identify() : await identify(formation, address)
    if (found === undefined || found.formed) return undefined
    members.push({ identity: found.identity, address: found.address, availabilityZone: found.availabilityZone, standing: Standing.Voter })
  }
  return members
}

async function identify (formation: Formation, address: string): Promise<Identification | undefined> {
  const answer = await formation.transport.identify(address)
  return answer.unwrapOr(undefined)
}
