/**
 * Finds out what a broken or silent connection means: a new connection to the backend server decides.
 * @module
 */
import type { BackendServer, BackendServers } from '../process/routing/backendServers.ts'
import type { Quarantine } from '../process/routing/quarantine.ts'
import { type BackendServerConnections, ProbeResult } from './backendServerConnection.ts'

/** Inspects backend servers. */
export interface CrashInspection {
  /**
   * Opens a new connection. When it is refused, the backend server has crashed and is avoided; when it stays silent, it is
   * avoided; when it is accepted, the backend server stays healthy. Calls at the same time share one connection.
   * @param server - the backend server
   * @param incarnation - the incarnation whose connection failed
   * @returns a promise that resolves when the result is on record
   */
  inspect (server: BackendServer, incarnation: string): Promise<void>
}

/** What the inspection needs. */
export interface CrashInspectionInputs {
  readonly connections: BackendServerConnections
  readonly backendServers: BackendServers
  readonly quarantine: Quarantine
}

/**
 * Creates the inspection.
 * @param inputs - what it needs
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
    // A new incarnation that was announced meanwhile is not avoided for what the old one did.
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
