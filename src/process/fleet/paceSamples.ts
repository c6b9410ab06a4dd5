/**
 * What the responses to this host have shown of the pace of backend servers since the last load report.
 * @module
 */
import type { ReportedLoad } from '../../connection/backendServerClient.ts'
import type { PaceSample } from '../../request/placement/serverPace.ts'

/** Maximum number of servers in one report; the others follow in the next ones. */
const maxReportedServers = 16

/** Servers whose samples are kept, so that a leader that can't be reached costs bounded memory. */
const maxServers = 512

/** Unit of the slowdown in a report, as a share of the usual duration. */
const slowdownUnit = 0.01

/** Unit of the time between events in a report, in milliseconds. */
const eventUnitMs = 0.01

/** Samples of a server on the wire: the slowdown in hundredths and the time between events in hundredths of a millisecond; 0 for none. */
export type EncodedPaceSample = readonly [slowdown: number, eventMs: number]

/** Samples by id of the server. */
export type EncodedPaceSamples = Readonly<Record<string, EncodedPaceSample>>

interface SampleSums {
  slowdown: number
  slowdowns: number
  eventMs: number
  streams: number
}

/** A server that has responded. */
export interface ReportingServer {
  readonly id: string
  readonly service: string
}

/** The samples. */
export interface PaceSamples {
  /**
   * Records the load that a server has reported.
   * @param server - the server
   * @param load - the load; undefined if it reports none
   */
  recordLoad (server: ReportingServer, load: ReportedLoad | undefined): void
  /** Checks whether any server of a service has reported a slowdown to this host. */
  isReported (service: string): boolean
  /**
   * Records the pace of a stream.
   * @param id - id of the server
   * @param eventMs - mean time between two events, in milliseconds
   */
  recordStream (id: string, eventMs: number): void
  /**
   * Takes the samples for a report; those of a report that fails are lost, and others follow.
   * @returns the means by server; undefined without any
   */
  take (): EncodedPaceSamples | undefined
}

/**
 * Creates an empty set of samples.
 * @returns the samples
 */
export function createPaceSamples (): PaceSamples {
  const sumsByServer = new Map<string, SampleSums>()
  const reportingServices = new Set<string>()

  function findSums (id: string): SampleSums | undefined {
    const known = sumsByServer.get(id)
    if (known !== undefined || sumsByServer.size >= maxServers) return known
    const sums = { slowdown: 0, slowdowns: 0, eventMs: 0, streams: 0 }
    sumsByServer.set(id, sums)
    return sums
  }

  return {
    isReported: service => reportingServices.has(service),
    recordLoad ({ id, service }, load) {
      if (load?.slowdown === undefined) return
      reportingServices.add(service)
      const sums = findSums(id)
      if (sums === undefined) return
      sums.slowdown += load.slowdown
      sums.slowdowns++
    },
    recordStream (id, eventMs) {
      const sums = findSums(id)
      if (sums === undefined) return
      sums.eventMs += eventMs
      sums.streams++
    },
    take () {
      const samples: Record<string, EncodedPaceSample> = {}
      let count = 0
      for (const [id, { slowdown, slowdowns, eventMs, streams }] of sumsByServer) {
        if (count++ >= maxReportedServers) break
        samples[id] = [encodeMean(slowdown, slowdowns, slowdownUnit), encodeMean(eventMs, streams, eventUnitMs)]
        sumsByServer.delete(id)
      }
      return count === 0 ? undefined : samples
    }
  }
}

/**
 * Decodes the samples of a server in a report.
 * @param encoded - the samples; of any shape, since another version of the program may have sent them
 * @returns what they show
 */
export function decodePaceSample (encoded: unknown): PaceSample {
  const [slowdown, eventMs] = Array.isArray(encoded) ? encoded as unknown[] : []
  return { slowdown: decodeMean(slowdown, slowdownUnit), eventMs: decodeMean(eventMs, eventUnitMs) }
}

function encodeMean (sum: number, count: number, unit: number): number {
  return count === 0 ? 0 : Math.max(1, Math.round(sum / count / unit))
}

function decodeMean (encoded: unknown, unit: number): number | undefined {
  return typeof encoded === 'number' && Number.isFinite(encoded) && encoded > 0 ? encoded * unit : undefined
}
