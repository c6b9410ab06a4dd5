/**
 * A live request, and what its tasks need.
 * @module
 */
import type { BackendServerConnections } from '../connection/backendServerConnection.ts'
import type { CrashInspection } from '../connection/crashInspection.ts'
import type { Protocol } from '../connection/protocol.ts'
import type { PoolLoads } from '../process/state/poolLoads.ts'
import type { BackendServers } from '../process/routing/backendServers.ts'
import type { Clock } from '../process/program/clock.ts'
import type { LiveWork } from '../process/routing/liveWork.ts'
import type { Logger } from '../process/program/logger.ts'
import type { Metrics } from '../process/program/metrics.ts'
import type { Quarantine } from '../process/routing/quarantine.ts'
import type { Random } from '../process/program/random.ts'
import type { RetryBudget } from '../process/routing/retryBudget.ts'
import type { Pool, ProtocolKind, Route } from '../version/tables.ts'
import type { Location } from './backendServerChoice.ts'

/** A live request as any front end gives it. */
export interface LiveRequest {
  readonly requestId: string
  readonly account: string
  readonly route: Route
  readonly pool: Pool
  readonly input: string
  readonly maxTokens: number
  readonly idempotent: boolean
  /** Monotonic time by which the answer must be complete, in milliseconds. */
  readonly deadline: number
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal
}

/** What live requests need. */
export interface LiveServices {
  readonly poolLoads: PoolLoads
  readonly backendServers: BackendServers
  readonly liveWork: LiveWork
  readonly connections: BackendServerConnections
  readonly quarantine: Quarantine
  readonly inspection: CrashInspection
  readonly protocols: Readonly<Record<ProtocolKind, Protocol>>
  readonly getRetryBudget: (pool: string) => RetryBudget
  readonly location: Location
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}
