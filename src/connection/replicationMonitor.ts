/**
 * Records how long the requests of a leader to one other replica take, and reports those that fail or take long.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { minElectionTimeoutMs } from '../process/log/election.ts'
import { approximateBytes } from '../process/log/replicaLog.ts'
import type { Entry, Member } from '../process/log/storage.ts'
import type { Failure } from '../process/program/failure.ts'
import { type LogFields, type Logger } from '../process/program/logger.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter, Latency, type Metrics } from '../process/program/metrics.ts'

/**
 * Duration from which a request counts as slow, in milliseconds. The next request starts after the response, so two slow
 * requests in a row leave the leader without contact for an election timeout.
 */
const slowRequestMs = minElectionTimeoutMs / 2

/** Shortest interval between two reports on one replica, in milliseconds. */
const minReportIntervalMs = 500

/** A request to another replica that has ended. */
export interface ReplicationRequest {
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAt: number
  /** Entries that it carried. */
  readonly entries: readonly Entry[]
  /** Size of the chunk of a snapshot that it carried, in bytes. */
  readonly snapshotBytes: number
}

/** Monitor of the requests to one replica. */
export interface ReplicationMonitor {
  /**
   * Records the end of a request.
   * @param request - the request
   * @param failure - why it failed, if it did
   */
  record (request: ReplicationRequest, failure: Failure | undefined): void
}

/**
 * Creates a monitor.
 * @param member - the other replica
 * @param services - clock, logger and metrics of the process
 * @returns the monitor
 */
export function createReplicationMonitor (member: Member, { clock, logger, metrics }: { readonly clock: Clock, readonly logger: Logger, readonly metrics: Metrics }): ReplicationMonitor {
  let reportedAt = -Infinity

  return {
    record (request, failure) {
      const now = clock.now()
      const durationMs = now - request.sentAt
      metrics.record(Latency.Replication, durationMs)
      if (failure !== undefined) metrics.count(Counter.ReplicationFailures, failure.reason)
      if (failure === undefined && durationMs < slowRequestMs) return
      if (now - reportedAt < minReportIntervalMs) return
      reportedAt = now
      logger.write(LogEvents.replicationDelayed, describe(member, request, durationMs, failure))
    }
  }
}

function describe (member: Member, { entries, snapshotBytes }: ReplicationRequest, durationMs: number, failure: Failure | undefined): LogFields {
  const inputs = { firstIndex: entries[0]?.index ?? 0, entries: entries.length, bytes: snapshotBytes + approximateBytes(entries) }
  return { peer: member.address, value: Math.round(durationMs), inputs, ...(failure === undefined ? {} : { failure }) }
}
