/**
 * Waits for space on a full disk. A control host with a full disk must neither end, since it would fail again at its next start,
 * nor acknowledge anything that is not on the disk.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { Counter, type Metrics } from '../program/metrics.ts'

/** Interval at which a write to a full disk is repeated, in milliseconds. */
export const spaceCheckIntervalMs = 200

/** Codes of the errors of writes for which the disk, or the quota of the process, has no free space. */
const diskFullCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT'])

/** Dependencies of the wait for free space. */
export interface DiskSpaceInputs {
  readonly folder: string
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Free space on the disk of a data folder. */
export interface DiskSpace {
  /** Whether the disk has free space, as far as the latest write shows. */
  readonly hasSpace: boolean
  /**
   * Repeats a write until the disk has free space for it.
   * @param write - the write; it leaves nothing behind when the disk is full, so that it can be repeated
   * @returns the result of the write
   * @throws Error of the write if it is another than that of a full disk, or if the wait was ended by `close`
   */
  retryUntilWritten<Value> (write: () => Promise<Value>): Promise<Value>
  /** Ends the wait for free space. */
  close (): void
}

/**
 * Checks whether a write failed because the disk is full.
 * @param error - the caught value
 * @returns whether the disk, or the quota of the process, has no free space
 */
export function isDiskFullError (error: unknown): boolean {
  const code = error instanceof Error ? (error as NodeJS.ErrnoException).code : undefined
  return code !== undefined && diskFullCodes.has(code)
}

/**
 * Creates the wait for free space of one data folder.
 * @param inputs - dependencies
 * @returns the wait; the disk counts as having free space until a write fails
 */
export function createDiskSpace ({ folder, clock, logger, metrics }: DiskSpaceInputs): DiskSpace {
  const closed = new AbortController()
  let fullSince: number | undefined

  function recordFull (): void {
    if (fullSince !== undefined) return
    fullSince = clock.now()
    metrics.count(Counter.DiskFull, 'log')
    logger.write(LogEvents.diskFull, { detail: folder })
  }

  function recordSpace (): void {
    if (fullSince === undefined) return
    logger.write(LogEvents.diskSpaceFound, { detail: folder, value: Math.round(clock.now() - fullSince) })
    fullSince = undefined
  }

  return {
    get hasSpace () { return fullSince === undefined },
    async retryUntilWritten (write) {
      while (true) {
        try {
          const value = await write()
          recordSpace()
          return value
        } catch (error) {
          if (!isDiskFullError(error) || closed.signal.aborted) throw error
          recordFull()
        }
        await clock.sleep(spaceCheckIntervalMs, closed.signal)
      }
    },
    close () {
      closed.abort()
    }
  }
}
