/**
 * Determines whether a backend server has crashed after a connection broke or timed out, by opening a new connection.
 * @module
 */
import type { BackendServer, BackendServers } from '../process/routing/backendServers.ts'
import type { Quarantine } from '../process/routing/quarantine.ts'
import { type BackendServerConnections, ProbeResult } from './backendServerConnection.ts'

/** Inspects backend servers after a connection failure. */
export interface CrashInspection {
  /**
   * Opens a new connection. When it is refused, the backend server is reported as crashed and avoided; when it times out,
   * the server is avoided; when it is accepted, the server stays healthy. Concurrent calls share one connection.
   * @param server - the backend server
   * @param incarnation - the incarnation whose connection failed
   * @returns a promise that resolves when the result has been recorded
   */
  inspect (server: BackendServer, incarnation: string): Promise<void>
}

/** Dependencies of the inspection. */
export interface CrashInspectionInputs {
  readonly connections: BackendServerConnections
  readonly backendServers: BackendServers
  readonly quarantine: Quarantine
}

/**
 * Creates the inspection.
 * @param inputs - dependencies of the inspection
 * @returns the inspection
 */
export function createCrashInspection (inputs: CrashInspectionInputs): CrashInspection {
  const { connections, backendServers, quarantine } = inputs
  const inProgress = new Map<string, Promise<void>>()

  async function probe (server: BackendServer, incarnation: string): Promise<void> {
    const { address } = server.announcement
    const result = await connections.to(address).probe()
    if (result === ProbeResult.Accepted) return
    if (result === ProbeResult.Refused) quarantine.reportCrash(address, incarnation)
    // The failure concerns only the inspected incarnation; one announced in the meantime is not avoided.
    if (server.announcement.incarnation === incarnation) backendServers.avoid(server)
  }

  return {
    inspect (server, incarnation) {
      const key = `${server.announcement.address} ${incarnation}`
      const existing = inProgress.get(key)
      if (existing !== undefined) return existing
      const started = probe(server, incarnation).finally(() => { inProgress.delete(key) })
      inProgress.set(key, started)
      return started
    }
  }
}
