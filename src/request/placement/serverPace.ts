/**
 * The pace of backend servers: how long work takes on each, relative to the mean of its service.
 *
 * Load pattern: the servers of a service differ in speed, and share their machines with others, so that each is several times slower
 * for spells of seconds. What a server reports of the moment changes many times per second: one figure says little of the next request,
 * while the mean over a good part of a second shows a spell. A host sees a server every few seconds only, so a spell is over before
 * the host has noticed it; the samples of all hosts together show it at once.
 */

/** Time over which reported slowdowns are averaged, in milliseconds: about the duration of a request, so that the mean is what the next one meets. */
const slowdownSmoothingMs = 600

/** Age from which a slowdown fades, in milliseconds. A server that is avoided for its slowdown reports none, and would be avoided for good. */
const slowdownFreshMs = 1_000

/** Time in which an old slowdown fades to the lasting mean of the server, in milliseconds; spells last for seconds. */
const slowdownFadingMs = 2_000

/** Minimum weight of the latest sample in the lasting means of a server; about the last twenty samples contribute. */
const lastingSmoothingFactor = 0.05

/** Streams after which the time between events of a server counts; fewer show what the streams were, and not what the server is. */
const minStreams = 8

/** Bounds of the lasting speed and of the slowdown. Whatever a server reports, it gets no more than twice its share, and a fifth of it at the least. */
const minPace = 0.5
const maxPace = 5

/** Difference from 1 from which a pace counts; a smaller one is noise of the measurement. */
const minDifference = 0.2

/** Steps of a pace, so that the messages with it are short. */
const paceSteps = 10

/** What requests have shown of a server. */
export interface PaceSample {
  /** Duration of work that the server reported, as a multiple of the usual one; undefined if it reported none. */
  readonly slowdown: number | undefined
  /** Mean time between two events of a stream, in milliseconds; undefined without a stream. */
  readonly eventMs: number | undefined
}

interface ServerState {
  readonly service: string
  slowdown: number
  slowdownAt: number
  /** Lasting mean of the slowdown, which includes the speed of the server where it reports that too. */
  meanSlowdown: number
  slowdowns: number
  /** Mean time between two events while the server is not slowed down, in milliseconds. */
  eventMs: number
  streams: number
}

/** The paces of all servers. */
export interface ServerPaces {
  /**
   * Adds a sample.
   * @param id - id of the server
   * @param service - its service
   * @param sample - what requests have shown
   * @param now - monotonic time, in milliseconds
   */
  record (id: string, service: string, sample: PaceSample, now: number): void
  /**
   * Returns the pace of a server.
   * @param id - id of the server
   * @param now - monotonic time, in milliseconds
   * @returns the duration of work as a multiple of the mean of the service; 1 as long as no difference is certain
   */
  get (id: string, now: number): number
  /**
   * Lists the servers whose pace differs from 1.
   * @param now - monotonic time, in milliseconds
   * @returns the paces by id of the server
   */
  list (now: number): Map<string, number>
  /**
   * Removes servers.
   * @param isKept - returns whether a server is kept
   */
  retain (isKept: (id: string) => boolean): void
}

/**
 * Creates paces without samples.
 * @returns the paces
 */
export function createServerPaces (): ServerPaces {
  const servers = new Map<string, ServerState>()
  const sumsByService = new Map<string, { eventMs: number, servers: number }>()

  function addToMean ({ service, eventMs, streams }: ServerState, sign: 1 | -1): void {
    if (streams < minStreams) return
    const sums = sumsByService.get(service) ?? { eventMs: 0, servers: 0 }
    sumsByService.set(service, sums)
    sums.eventMs += sign * eventMs
    sums.servers += sign
  }

  function computePace (state: ServerState, now: number): number {
    const { service, eventMs, streams } = state
    const sums = sumsByService.get(service)
    const speed = streams < minStreams || sums === undefined || sums.eventMs <= 0 ? 1 : eventMs * sums.servers / sums.eventMs
    const pace = clampPace(clampPace(speed) * fadeSlowdown(state, now))
    return Math.abs(pace - 1) < minDifference ? 1 : Math.round(pace * paceSteps) / paceSteps
  }

  return {
    record (id, service, { slowdown, eventMs }, now) {
      const known = servers.get(id)
      const state = known?.service === service ? known : { service, slowdown: 1, slowdownAt: -Infinity, meanSlowdown: 0, slowdowns: 0, eventMs: 0, streams: 0 }
      if (state !== known) {
        if (known !== undefined) addToMean(known, -1)
        servers.set(id, state)
      }
      if (slowdown !== undefined && Number.isFinite(slowdown)) {
        const weight = 1 - Math.exp(-Math.max(1, now - state.slowdownAt) / slowdownSmoothingMs)
        state.slowdown += (clampPace(slowdown) - state.slowdown) * weight
        state.slowdownAt = now
        state.slowdowns++
        state.meanSlowdown += (clampPace(slowdown) - state.meanSlowdown) * Math.max(lastingSmoothingFactor, 1 / state.slowdowns)
      }
      if (eventMs === undefined || !Number.isFinite(eventMs) || eventMs <= 0) return
      addToMean(state, -1)
      state.streams++
      state.eventMs += (eventMs / fadeSlowdown(state, now) - state.eventMs) * Math.max(lastingSmoothingFactor, 1 / state.streams)
      addToMean(state, 1)
    },
    get (id, now) {
      const state = servers.get(id)
      return state === undefined ? 1 : computePace(state, now)
    },
    list (now) {
      const paces = new Map<string, number>()
      for (const [id, state] of servers) {
        const pace = computePace(state, now)
        if (pace !== 1) paces.set(id, pace)
      }
      return paces
    },
    retain (isKept) {
      for (const [id, state] of servers) {
        if (isKept(id)) continue
        addToMean(state, -1)
        servers.delete(id)
      }
    }
  }
}

/**
 * Fades a pace that was learned some time ago, for a host that has lost touch with the leader.
 * @param pace - the pace
 * @param ageMs - time since it was learned, in milliseconds
 * @param lasting - the pace to which it fades
 * @returns the pace to assume now
 */
export function fadePace (pace: number, ageMs: number, lasting = 1): number {
  const fadedMs = Math.max(0, ageMs - slowdownFreshMs)
  return fadedMs === 0 ? pace : lasting + (pace - lasting) * Math.exp(-fadedMs / slowdownFadingMs)
}

function fadeSlowdown ({ slowdown, slowdownAt, meanSlowdown, slowdowns }: ServerState, now: number): number {
  return slowdowns === 0 ? 1 : fadePace(slowdown, now - slowdownAt, meanSlowdown)
}

function clampPace (pace: number): number {
  return Math.min(maxPace, Math.max(minPace, pace))
}
