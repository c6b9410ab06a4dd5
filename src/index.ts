/**
 * Public exports of the library behind the daemon and the operators' command line.
 * @module
 */
export { type Daemon, startDaemon } from './process/entry/daemon.ts'
export { listFlags, readSettings, Role, type Settings } from './process/program/settings.ts'
export { createOperatorClient, type OperatorClient } from './process/entry/operatorClient.ts'
export { runLiveRequest } from './request/liveRequest.ts'
export type { LiveRequest, LiveServices } from './request/liveServices.ts'
export { chooseBackendServer } from './request/backendServerChoice.ts'
export { countCrashes } from './process/routing/quarantine.ts'
export { decideRetry } from './request/retry.ts'
export { decideAdmission } from './request/admission.ts'
export { applyCommand, answerQuery, createControlState } from './process/state/controlState.ts'
export { decideVote } from './process/log/election.ts'
export { validateTables } from './version/validation.ts'
export { compareTables } from './version/difference.ts'
export * from './version/tables.ts'
export * from './process/state/commands.ts'
export * from './process/state/queries.ts'
