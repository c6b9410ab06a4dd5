/**
 * The dependencies that the modules of batch dispatch share.
 * @module
 */
import type { ByteBudget } from '../process/jobs/byteBudget.ts'
import type { Clock } from '../process/program/clock.ts'
import type { Completions } from '../process/jobs/completions.ts'
import type { ItemRuns } from '../process/jobs/itemRuns.ts'
import type { LeaseDirectory } from '../process/routing/leaseDirectory.ts'
import type { LiveWork } from '../process/routing/liveWork.ts'
import type { Logger } from '../process/program/logger.ts'
import type { Metrics } from '../process/program/metrics.ts'
import type { Random } from '../process/program/random.ts'
import type { Location } from '../request/backendServerChoice.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import type { ProtocolKind } from '../version/tables.ts'
import type { BackendServerConnections } from './backendServerConnection.ts'
import type { ControlClient } from './controlClient.ts'
import type { Session } from './controlStream.ts'
import type { CrashInspection } from './crashInspection.ts'
import type { Protocol } from './protocol.ts'

/** Dependencies and settings of batch dispatch on one host. */
export interface BatchServices {
  readonly holder: string
  readonly location: Location
  readonly control: ControlClient
  readonly session: Session
  readonly version: CurrentVersion
  readonly connections: BackendServerConnections
  readonly protocols: Readonly<Record<ProtocolKind, Protocol>>
  readonly completions: Completions
  readonly runs: ItemRuns
  readonly leases: LeaseDirectory
  readonly liveWork: LiveWork
  readonly inspection: CrashInspection
  readonly getByteBudget: (pool: string) => ByteBudget
  /** Returns the sequence number of the next claim. It never repeats, since the same lease may be held again after a failed release. */
  readonly nextSequence: () => number
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  /** Aborts when the process closes its connections to control. */
  readonly ended: AbortSignal
}
