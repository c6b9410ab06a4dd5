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
  settingsReloaded: { number: 105, level: Level.Info, text: 'settings file read again', action: nothing },
  linesDropped: { number: 106, level: Level.Warn, text: 'log lines dropped, since there were too many', action: 'The counters are complete; raise the log level if it repeats.' },
  folderMovedAside: { number: 213, level: Level.Error, text: 'damaged data folder set aside; joining under a new identity', action: 'Check the disk.' },
  logLoaded: { number: 200, level: Level.Info, text: 'log loaded from the data folder', action: nothing },
  tornRecordTruncated: { number: 201, level: Level.Warn, text: 'incomplete last record cut off', action: nothing },
  logDamaged: { number: 202, level: Level.Error, text: 'record damaged before the end of the log', action: 'Keep a copy of the data folder, then empty it and restart: the host joins under a new identity. Do this for one host at a time, while a majority of the others runs.' },
  logBootstrapped: { number: 203, level: Level.Info, text: 'first membership formed', action: nothing },
  leaderElected: { number: 204, level: Level.Info, text: 'this replica became leader', action: nothing },
  leaderLost: { number: 205, level: Level.Warn, text: 'this replica is no longer leader', action: 'Check the network between control hosts if it repeats.' },
  membersChanged: { number: 206, level: Level.Info, text: 'membership of control hosts changed', action: nothing },
  syncFailed: { number: 207, level: Level.Error, text: 'writing or syncing the log failed; the process ends', action: 'Check the disk. If it is lost, empty the data folder on a new disk and restart: the host joins under a new identity.' },
  snapshotWritten: { number: 208, level: Level.Info, text: 'snapshot written and earlier log removed', action: nothing },
  snapshotInstalled: { number: 209, level: Level.Info, text: 'snapshot received from the leader and installed', action: nothing },
  joinRequested: { number: 210, level: Level.Warn, text: 'data folder is empty; asking to join under a new identity', action: 'Wait for event 212 on the leader before taking another control host down.' },
  joinRefused: { number: 211, level: Level.Error, text: 'a control host may not join: seven members are the limit', action: 'Stop the host, or use the address of a member that is lost.' },
  memberPromoted: { number: 212, level: Level.Info, text: 'control host is caught up and votes; the repair is complete', action: nothing },
  configurationActivated: { number: 300, level: Level.Info, text: 'configuration version in force', action: nothing },
  configurationStale: { number: 301, level: Level.Error, text: 'no confirmed configuration; refusing new requests', action: 'Check that a majority of control hosts runs and is reachable.' },
  configurationConfirmed: { number: 302, level: Level.Info, text: 'configuration confirmed again', action: nothing },
  configurationBehind: { number: 303, level: Level.Error, text: 'control has an older configuration than this host; refusing new requests', action: 'Check whether the control hosts lost their data; restart this host to take their version.' },
  backendServerAnnounced: { number: 400, level: Level.Info, text: 'backend server announced itself', action: nothing },
  backendServerLeaving: { number: 401, level: Level.Info, text: 'backend server is leaving', action: nothing },
  backendServerExpired: { number: 402, level: Level.Warn, text: 'announcement of a backend server expired', action: 'Check the backend server.' },
  hostJoined: { number: 420, level: Level.Info, text: 'host joined the fleet', action: nothing },
  hostLost: { number: 421, level: Level.Warn, text: 'session of a host ended', action: 'Check the host if it does not come back.' },
  leaderFound: { number: 422, level: Level.Info, text: 'leader of the control hosts found', action: nothing },
  leaderUnreachable: { number: 423, level: Level.Warn, text: 'leader of the control hosts not reached; going on with what is known', action: 'Check that a majority of control hosts runs and is reachable.' },
  serverSuspected: { number: 424, level: Level.Warn, text: 'backend server failed a connection and is avoided for a while', action: 'Check the backend server if it repeats.' },
  heartbeatIgnored: { number: 425, level: Level.Debug, text: 'heartbeat that is late or not understood ignored', action: nothing },
  orderIssuerChanged: { number: 410, level: Level.Info, text: 'this host issues the orders to the engines of a pool', action: nothing },
  orderSent: { number: 411, level: Level.Info, text: 'engine ordered to load a model', action: nothing },
  orderFailed: { number: 412, level: Level.Warn, text: 'order to an engine failed', action: 'Check the backend server if it repeats.' },
  attemptFailed: { number: 500, level: Level.Warn, text: 'attempt on a backend server failed', action: nothing },
  requestRefused: { number: 501, level: Level.Info, text: 'request refused', action: 'See the refusal reason in docs/operations.md.' },
  requestCompleted: { number: 502, level: Level.Info, text: 'request answered', action: nothing },
  responseAborted: { number: 503, level: Level.Warn, text: 'answer broken off', action: 'See docs/OPERATIONS.md.' },
  callerDisconnected: { number: 504, level: Level.Info, text: 'caller disconnected before the end of its answer', action: nothing },
  backendServerCrashed: { number: 510, level: Level.Warn, text: 'backend server crashed with requests in flight', action: 'Check the backend server if it repeats.' },
  requestQuarantined: { number: 511, level: Level.Error, text: 'request quarantined because it crashes backend servers', action: 'Find the request by its fingerprint and the attempts that failed before; correct it at its caller.' },
  connectionTimedOut: { number: 520, level: Level.Warn, text: 'connection to a backend server went silent and was closed', action: 'Check the network to the backend server if it repeats.' },
  callerStalled: { number: 521, level: Level.Info, text: 'caller stopped reading its answer; connection closed', action: nothing },
  itemFailed: { number: 600, level: Level.Info, text: 'batch item ended as failed', action: 'Read the reason in the job\'s results.' },
  dispatchFailed: { number: 601, level: Level.Warn, text: 'batch dispatch call to control failed', action: 'Check the control hosts if it repeats.' },
  sessionExpired: { number: 602, level: Level.Warn, text: 'session with control lapsed; batch items are stopped', action: 'Check the network to the control hosts and the load of this host if it repeats.' },
  submissionAccepted: { number: 620, level: Level.Info, text: 'job accepted', action: nothing },
  submissionRefused: { number: 621, level: Level.Info, text: 'job refused', action: 'See the reason; the caller sends the job again.' },
  submissionEnded: { number: 622, level: Level.Info, text: 'job ended by its caller', action: nothing },
  itemStarted: { number: 623, level: Level.Info, text: 'item sent to a backend server', action: nothing },
  itemInterrupted: { number: 624, level: Level.Info, text: 'item interrupted; it goes on later', action: nothing },
  itemEndRecorded: { number: 625, level: Level.Info, text: 'end of an item recorded', action: nothing },
  progressSaveFailed: { number: 626, level: Level.Warn, text: 'progress of items was not saved; trying again', action: 'Check the control hosts if it repeats.' },
  publicationAccepted: { number: 310, level: Level.Info, text: 'published tables accepted', action: nothing },
  publicationRefused: { number: 311, level: Level.Warn, text: 'published tables refused', action: 'Read the reason; publish corrected tables.' },
  leaseAcquired: { number: 610, level: Level.Info, text: 'batch dispatch lease held', action: nothing },
  leaseEnded: { number: 611, level: Level.Info, text: 'batch dispatch lease given up', action: nothing },
  claimFailed: { number: 612, level: Level.Warn, text: 'claim of batch items was not answered; sending it again', action: 'Check the control hosts if it repeats.' },
  itemQuarantined: { number: 613, level: Level.Warn, text: 'batch item ended as failed; its request crashed two backend servers', action: 'Check the input of the item.' }
} as const satisfies Readonly<Record<string, LogEvent>>
