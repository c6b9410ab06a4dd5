/**
 * The catalogue of log events. docs/log-events.md is written from it, and a test compares the two.
 * @module
 */

/** How urgent an event is. */
export const Level = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const
export type Level = typeof Level[keyof typeof Level]

/** A numbered log event. */
export interface LogEvent {
  readonly number: number
  readonly level: Level
  readonly text: string
  /** What an operator should do, or that nothing is to be done. */
  readonly action: string
}

const nothing = 'Nothing to do.'

/** All log events. 1xx process, 2xx replicated log, 3xx configuration, 4xx backend servers, 5xx requests, 6xx jobs. */
export const LogEvents = {
  processStarted: { number: 100, level: Level.Info, text: 'process started', action: nothing },
  processDraining: { number: 101, level: Level.Info, text: 'shutdown requested; draining', action: nothing },
  processEnded: { number: 102, level: Level.Info, text: 'process ended', action: nothing },
  processFailed: { number: 103, level: Level.Error, text: 'process ended by a failure', action: 'Read the failure; restart the process.' },
  settingsRefused: { number: 104, level: Level.Error, text: 'a setting was refused', action: 'Correct the setting.' },
  logLoaded: { number: 200, level: Level.Info, text: 'log loaded from the data folder', action: nothing },
  tornRecordCut: { number: 201, level: Level.Warn, text: 'incomplete last record cut off', action: nothing },
  logDamaged: { number: 202, level: Level.Error, text: 'record damaged before the end of the log', action: 'Empty the data folder; the replica joins as a new member.' },
  logFormed: { number: 203, level: Level.Info, text: 'first membership formed', action: nothing },
  leaderElected: { number: 204, level: Level.Info, text: 'this replica became leader', action: nothing },
  leaderLost: { number: 205, level: Level.Warn, text: 'this replica is no longer leader', action: 'Check the network between control hosts if it repeats.' },
  membersChanged: { number: 206, level: Level.Info, text: 'membership of control hosts changed', action: nothing },
  configurationInForce: { number: 300, level: Level.Info, text: 'configuration version in force', action: nothing },
  configurationStale: { number: 301, level: Level.Error, text: 'no confirmed configuration; refusing new requests', action: 'Check that a majority of control hosts runs and is reachable.' },
  configurationFresh: { number: 302, level: Level.Info, text: 'configuration confirmed again', action: nothing },
  backendServerAnnounced: { number: 400, level: Level.Info, text: 'backend server announced itself', action: nothing },
  backendServerLeaving: { number: 401, level: Level.Info, text: 'backend server is leaving', action: nothing },
  backendServerExpired: { number: 402, level: Level.Warn, text: 'announcement of a backend server expired', action: 'Check the backend server.' },
  orderIssuerChanged: { number: 410, level: Level.Info, text: 'this host issues the orders to the engines of a pool', action: nothing },
  orderSent: { number: 411, level: Level.Info, text: 'engine ordered to load a model', action: nothing },
  orderFailed: { number: 412, level: Level.Warn, text: 'order to an engine failed', action: 'Check the backend server if it repeats.' },
  attemptFailed: { number: 500, level: Level.Warn, text: 'attempt on a backend server failed', action: nothing },
  requestRefused: { number: 501, level: Level.Info, text: 'request refused', action: 'See the refusal reason in docs/operations.md.' },
  itemFailed: { number: 600, level: Level.Info, text: 'batch item ended as failed', action: 'Read the reason in the job\'s results.' },
  dispatchFailed: { number: 601, level: Level.Warn, text: 'batch dispatch call to control failed', action: 'Check the control hosts if it repeats.' }
} as const satisfies Readonly<Record<string, LogEvent>>
