/**
 * The planned stop of a gateway: which requests are still accepted, and when the process may end.
 * @module
 */
import { Server as ConnectionServer } from 'node:net'
import type { Server } from 'node:http'
import type { OpenRequests } from '../../connection/openRequests.ts'
import { addressKeepMs } from '../../request/gatewayChoice.ts'
import type { Clock } from '../program/clock.ts'

/** Multiple of its permitted lifetime for which some callers cache a directory response. */
const addressCacheFactor = 3

/** Time until every control host's directory omits a draining gateway, in milliseconds. */
const directoryUpdateMs = 400

/** Time reserved for the end of the process after the wait for responses, in milliseconds. */
const exitMarginMs = 300

/** Time reserved between the time limit of an accepted request and the end of the wait for its response, in milliseconds. */
const responseMarginMs = 300

/** Interval at which a draining gateway checks for open requests, in milliseconds. */
const drainCheckIntervalMs = 50

/**
 * Time without an open request after which the process may end, in milliseconds. A caller that sends its next request on the
 * connection of the response that it has just received still gets an answer.
 */
const quietMs = 200

/** Tells requests whether they can end before the process does. */
export interface GatewayDrain {
  /** Whether the stop has begun. */
  readonly isDraining: boolean
  /**
   * Monotonic time by which an accepted request must end, in milliseconds; Infinity before the stop, and -Infinity once the
   * process is about to end.
   */
  readonly lastEndAt: number
  /**
   * Starts the stop.
   * @param killAt - monotonic time at which the platform kills the process, in milliseconds
   */
  begin (killAt: number): void
  /** Accepts no request any more. */
  finish (): void
}

/**
 * Creates the state of a gateway's planned stop.
 * @returns the state before the stop
 */
export function createGatewayDrain (): GatewayDrain {
  let lastEndAt = Infinity
  let isDraining = false
  return {
    get isDraining () { return isDraining },
    get lastEndAt () { return lastEndAt },
    begin (killAt) {
      isDraining = true
      lastEndAt = killAt - exitMarginMs - responseMarginMs
    },
    finish () {
      lastEndAt = -Infinity
    }
  }
}

/** Dependencies of the planned stop of a gateway. */
export interface GatewayDrainInputs {
  readonly drain: GatewayDrain
  readonly server: Server
  readonly openRequests: OpenRequests
  readonly clock: Clock
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  /** Reports that the gateway is no longer ready. */
  readonly announce: () => Promise<unknown>
}

/**
 * Stops a gateway. Callers with a cached directory response still connect for a while, so it listens until those responses
 * have expired. Kept connections stay open until the end, since their next request may be on the way.
 * @param inputs - dependencies
 * @returns a promise that resolves when no response is owed, or the grace is almost over
 */
export async function drainGateway ({ drain, server, openRequests, clock, graceMs, announce }: GatewayDrainInputs): Promise<void> {
  const startedAt = clock.now()
  const endAt = startedAt + graceMs - exitMarginMs
  drain.begin(startedAt + graceMs)
  openRequests.closeAfterResponses()
  await Promise.all([announce(), clock.sleep(Math.min(directoryUpdateMs + addressKeepMs * addressCacheFactor, graceMs - exitMarginMs))])
  // The method of the HTTP server would also close idle connections.
  ConnectionServer.prototype.close.call(server)
  let quietSince = clock.now()
  while (clock.now() - quietSince < quietMs && clock.now() < endAt) {
    await clock.sleep(drainCheckIntervalMs)
    if (openRequests.count > 0) quietSince = clock.now()
  }
  drain.finish()
}
