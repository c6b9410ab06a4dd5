/**
 * Counters and latency histograms, exported in the Prometheus text exposition format.
 * @module
 */
import * as hdr from 'hdr-histogram-js'

/** Names of the counters. Each has one label. */
export const Counter = {
  Requests: 'jaychute_requests_total',
  Refusals: 'jaychute_refusals_total',
  /** Requests refused since the limit of their client account was used up, by account. */
  QuotaRefusals: 'jaychute_quota_refusals_total',
  /** Requests to the leader for an allotment of a client account, by outcome. */
  AllotmentRequests: 'jaychute_allotment_requests_total',
  /** Requests beyond the share of their client account that found no free slot, by account. */
  ShareRefusals: 'jaychute_share_refusals_total',
  /** Rounds of waiting for a place at a backend server, by client account; empty without one. */
  Waits: 'jaychute_waits_total',
  LimitedRequests: 'jaychute_limited_requests_total',
  WithheldRequests: 'jaychute_withheld_requests_total',
  Retries: 'jaychute_retries_total',
  RetriesDenied: 'jaychute_retries_denied_total',
  /** Records of streams, by copy: sent, failed, dropped. */
  StreamRecords: 'jaychute_stream_records_total',
  StreamLookups: 'jaychute_stream_lookups_total',
  ResumptionRefusals: 'jaychute_resumption_refusals_total',
  Attempts: 'jaychute_attempts_total',
  AttemptFailures: 'jaychute_attempt_failures_total',
  BrokenAttempts: 'jaychute_broken_attempts_total',
  ServerConnections: 'jaychute_server_connections_total',
  /** Load figures in responses of backend servers, by what could be read of them. */
  ServerLoads: 'jaychute_server_loads_total',
  Items: 'jaychute_items_total',
  Yields: 'jaychute_batch_yields_total',
  RestartedItems: 'jaychute_restarted_items_total',
  Bytes: 'jaychute_bytes_total',
  DispatchUpdates: 'jaychute_dispatch_news_total',
  ControlCalls: 'jaychute_control_calls_total',
  FleetPolls: 'jaychute_fleet_polls_total',
  TablesEncoded: 'jaychute_tables_encoded_total',
  Responses: 'jaychute_responses_total',
  ResponseBytes: 'jaychute_response_bytes_total',
  ResponseEncoding: 'jaychute_response_encoding_microseconds_total',
  UnsentResponses: 'jaychute_unsent_responses_total',
  /** Reads that were not answered, since their caller had given them up, by procedure. */
  ExpiredReads: 'jaychute_expired_reads_total',
  UnusedResponses: 'jaychute_unused_responses_total',
  ReplacedConnections: 'jaychute_replaced_connections_total',
  BatchPlans: 'jaychute_batch_plans_total',
  BatchPlanning: 'jaychute_batch_planning_microseconds_total',
  /** Uploads and answers that had to give way when the memory for clients was used up, by what was held. */
  GivenWay: 'jaychute_given_way_total',
  /** Connections of callers that were closed at a limit, by limit. */
  ClosedConnections: 'jaychute_closed_connections_total',
  UnexpectedErrors: 'jaychute_unexpected_errors_total',
  Syncs: 'jaychute_log_syncs_total',
  DiskFull: 'jaychute_disk_full_total',
  LogEntries: 'jaychute_log_entries_total',
  TablesFetches: 'jaychute_tables_fetches_total',
  TablesConfirmations: 'jaychute_tables_confirmations_total',
  LeadershipEnds: 'jaychute_leadership_ends_total',
  ReplicationFailures: 'jaychute_replication_failures_total'
} as const
export type Counter = typeof Counter[keyof typeof Counter]

/** Names of the histograms. Their values are exported in microseconds. */
export const Latency = {
  FirstToken: 'jaychute_first_token_microseconds',
  BetweenTokens: 'jaychute_between_tokens_microseconds',
  OwnDelay: 'jaychute_own_delay_microseconds',
  Commit: 'jaychute_commit_microseconds',
  Yield: 'jaychute_yield_microseconds',
  Replication: 'jaychute_replication_microseconds',
  TablesDelay: 'jaychute_tables_delay_microseconds',
  EventLoopDelay: 'jaychute_event_loop_delay_microseconds',
  FleetPollGap: 'jaychute_fleet_poll_gap_microseconds'
} as const
export type Latency = typeof Latency[keyof typeof Latency]

/** Number of microseconds in a millisecond. */
export const microsecondsPerMillisecond = 1000
const microsecondsPerSecond = 1_000_000
const percentiles = [50, 95, 99, 99.9] as const

/** Counters and histograms of one process. */
export interface Metrics {
  /**
   * Adds to a counter.
   * @param counter - the counter
   * @param label - value of the label, for example a reason or a class
   * @param amount - the increment, 1 by default
   */
  count (counter: Counter, label: string, amount?: number): void
  /**
   * Reads a counter.
   * @param counter - the counter
   * @param label - value of the label
   * @returns the current value; 0 if it was never incremented
   */
  read (counter: Counter, label: string): number
  /**
   * Adds up a counter.
   * @param counter - the counter
   * @returns the sum of its values over all labels
   */
  sum (counter: Counter): number
  /**
   * Lists the values of a counter.
   * @param counter - the counter
   * @returns a copy of its values, by label
   */
  list (counter: Counter): ReadonlyMap<string, number>
  /**
   * Records a latency.
   * @param latency - the histogram
   * @param durationMs - the duration in milliseconds
   */
  record (latency: Latency, durationMs: number): void
  /**
   * Reads a percentile.
   * @param latency - the histogram
   * @param percentile - from 0 to 100
   * @returns the latency in milliseconds
   */
  percentile (latency: Latency, percentile: number): number
  /**
   * Formats all values in the text exposition format.
   * @returns the text
   */
  format (): string
}

/**
 * Creates empty metrics.
 * @returns the metrics
 */
export function createMetrics (): Metrics {
  const counters = new Map<Counter, Map<string, number>>()
  const histograms = new Map<Latency, hdr.Histogram>()

  function getHistogram (latency: Latency): hdr.Histogram {
    const existing = histograms.get(latency)
    if (existing !== undefined) return existing
    const created = hdr.build({ numberOfSignificantValueDigits: 3, autoResize: true })
    histograms.set(latency, created)
    return created
  }

  return {
    count (counter, label, amount = 1) {
      const values = counters.get(counter) ?? new Map<string, number>()
      counters.set(counter, values)
      values.set(label, (values.get(label) ?? 0) + amount)
    },
    read: (counter, label) => counters.get(counter)?.get(label) ?? 0,
    sum (counter) {
      let sum = 0
      for (const value of counters.get(counter)?.values() ?? []) sum += value
      return sum
    },
    list: counter => new Map(counters.get(counter)),
    record (latency, durationMs) {
      getHistogram(latency).recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMillisecond)))
    },
    percentile: (latency, percentile) =>
      getHistogram(latency).getValueAtPercentile(percentile) / microsecondsPerMillisecond,
    format () {
      const lines: string[] = []
      for (const [counter, values] of counters) {
        lines.push(`# TYPE ${counter} counter`)
        for (const [label, value] of values) lines.push(`${counter}{label="${label}"} ${value}`)
      }
      for (const [latency, histogram] of histograms) {
        lines.push(`# TYPE ${latency} summary`)
        for (const percentile of percentiles) {
          lines.push(`${latency}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`)
        }
        lines.push(`${latency}_count ${histogram.totalCount}`)
      }
      lines.push(...formatProcess())
      return lines.join('\n') + '\n'
    }
  }
}

function formatProcess (): string[] {
  const { user, system } = process.cpuUsage()
  return [
    '# TYPE process_cpu_seconds_total counter',
    `process_cpu_seconds_total ${(user + system) / microsecondsPerSecond}`,
    '# TYPE process_resident_memory_bytes gauge',
    `process_resident_memory_bytes ${process.memoryUsage.rss()}`
  ]
}
