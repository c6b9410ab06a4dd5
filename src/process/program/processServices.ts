/**
 * Services shared by the components of one process.
 * @module
 */
import type { Clock } from './clock.ts'
import type { Lifecycle } from './lifecycle.ts'
import type { Logger } from './logger.ts'
import type { Metrics } from './metrics.ts'
import type { Random } from './random.ts'

/** Services shared by the components of one process. A component picks those that it uses. */
export interface ProcessServices {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly lifecycle: Lifecycle
}
