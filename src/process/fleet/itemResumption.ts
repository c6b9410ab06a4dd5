/**
 * Decides whether a run of an item resumes from saved events. What two software versions of a backend server write does not fit together, so a
 * run resumes only at a server of the version that produced the saved events, and begins anew otherwise.
 *
 * A run that begins anew replaces the saved events with its first report, which may still be uncommitted in the log when the run is lost. Until
 * it is applied, the state holds events of earlier runs, and another run that resumed after them would follow events of another version once
 * it is. So the leader keeps the runs since the last one that began anew for each item, and resumes only after their events.
 * @module
 */
import type { Resumption } from '../../request/placement/batchPlan.ts'
import type { SavedProgress } from '../jobs/submission.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'
import type { OpenItem } from './openItems.ts'
import { nameDiscardedRun, type RunId, type RunReference } from './runMessages.ts'

/** Longest wait of an item for a free slot at the version of its saved events, in milliseconds. */
const maxVersionWaitMs = 2_000

/** Why a run does not resume from the saved events of its item. */
export const RestartCause = {
  OtherVersion: 'other version',
  UnknownVersion: 'unknown version',
  /** The events are being replaced by those of a later run. */
  Replaced: 'replaced'
} as const
export type RestartCause = typeof RestartCause[keyof typeof RestartCause]

/**
 * Determines at which version an item may resume, and whether it may wait for a slot there.
 * @param entry - the item, which may be started; its wait begins with the first call
 * @param now - monotonic time in milliseconds
 * @returns undefined if the item begins anew on any server
 */
export function determineResumption (entry: OpenItem, now: number): Resumption | undefined {
  const saved = findSavedEvents(entry)
  if (saved?.softwareVersion === undefined || !isCurrent(entry, saved)) return undefined
  entry.waitingSince ??= now
  return { softwareVersion: saved.softwareVersion, canWait: now - entry.waitingSince < maxVersionWaitMs }
}

/**
 * Determines why a run on a server can't resume from the saved events of an item.
 * @param entry - the item
 * @param server - the server
 * @returns undefined if the run resumes, or if there are no saved events
 */
export function findRestartCause (entry: OpenItem, { softwareVersion }: Pick<BackendServerRecord, 'softwareVersion'>): RestartCause | undefined {
  const saved = findSavedEvents(entry)
  if (saved === undefined) return undefined
  if (!isCurrent(entry, saved)) return RestartCause.Replaced
  if (saved.softwareVersion === undefined || softwareVersion === undefined) return RestartCause.UnknownVersion
  return saved.softwareVersion === softwareVersion ? undefined : RestartCause.OtherVersion
}

/**
 * Records a run of an item, which ends its wait.
 * @param entry - the item
 * @param run - the run
 * @param isFromStart - whether the first report of the run replaces all saved events
 */
export function recordRun (entry: OpenItem, run: RunId, isFromStart: boolean): void {
  entry.waitingSince = undefined
  if (isFromStart) entry.currentRuns = new Set()
  entry.currentRuns?.add(run).add(nameDiscardedRun(run))
}

/**
 * Checks whether the next report of a run that another leader assigned continues the saved events of its item.
 * @param entry - the item
 * @param reference - the run, as its executor describes it
 * @returns false if the item would have events of runs that do not continue each other
 */
export function canAdopt (entry: OpenItem, { run, from, softwareVersion }: RunReference): boolean {
  if (from === 0) return true
  if (entry.currentRuns?.has(run) === false) return false
  const saved = findSavedEvents(entry)
  return saved === undefined || saved.run === run || saved.softwareVersion === softwareVersion
}

function findSavedEvents ({ record, item }: OpenItem): SavedProgress | undefined {
  const saved = record.progress.get(item.id)
  return saved === undefined || saved.data.length === 0 ? undefined : saved
}

function isCurrent ({ currentRuns }: OpenItem, { run }: SavedProgress): boolean {
  return currentRuns === undefined || (run !== undefined && currentRuns.has(run))
}
