/**
 * Whether a gateway is overloaded, and which gateways to leave out of the answers to callers.
 *
 * Load pattern: callers choose among the gateways of their zone at random, and these have a third of the processor of others. At the
 * same number of requests the smaller ones are the first to be busy all the time, and each of their requests waits. Traffic comes in waves of
 * seconds, so a mean over several seconds tells a lasting overload from a wave, and hysteresis keeps a gateway that is relieved from
 * being listed and left out by turns.
 */

/** Time over which the busy share is averaged, in milliseconds; longer than a wave. */
const smoothingMs = 5_000

/** Mean busy share from which a gateway is overloaded; work waits four times as long as it takes then. */
const overloadShare = 0.8

/** Mean busy share below which it is no longer overloaded. */
const reliefShare = 0.5

/** Share of the gateways that may be left out at the most. If more are overloaded, the others could not take their load. */
const maxLeftOutShare = 0.5

/** The load of one gateway. */
export interface HostOverload {
  readonly isOverloaded: boolean
  /**
   * Records how busy the process was.
   * @param busyShare - share of the time, from 0 to 1
   * @param durationMs - the time, in milliseconds
   */
  record (busyShare: number, durationMs: number): void
}

/**
 * Creates the load of a gateway without measurements.
 * @returns the load
 */
export function createHostOverload (): HostOverload {
  let mean = 0
  let isOverloaded = false
  return {
    get isOverloaded () { return isOverloaded },
    record (busyShare, durationMs) {
      if (!(busyShare >= 0) || !(durationMs > 0)) return
      mean += (Math.min(1, busyShare) - mean) * (1 - Math.exp(-durationMs / smoothingMs))
      if (mean >= overloadShare) isOverloaded = true
      else if (mean < reliefShare) isOverloaded = false
    }
  }
}

/**
 * Leaves out overloaded gateways.
 * @param hosts - the gateways that a caller may use
 * @param minHosts - number of gateways that remain at the least
 * @returns the gateways with room; all of them if too many are overloaded
 */
export function leaveOutOverloaded<Host extends { readonly isOverloaded?: boolean | undefined }> (hosts: readonly Host[], minHosts: number): readonly Host[] {
  const withRoom = hosts.filter(host => host.isOverloaded !== true)
  const isRelieved = withRoom.length >= minHosts && hosts.length - withRoom.length <= hosts.length * maxLeftOutShare
  return isRelieved ? withRoom : hosts
}
