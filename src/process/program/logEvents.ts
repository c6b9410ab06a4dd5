/**
 * The catalogue of log events. docs/log-events.md is generated from it; a test checks that both match.
 * @module
 */

/** Severity of an event. */
export const Level = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const
export type Level = typeof Level[keyof typeof Level]

/** A numbered log event. */
export interface LogEvent {
  readonly number: number
  readonly level: Level
  readonly text: string
  /** Recommended action of the operator. */
  readonly action: string
}

const noAction = 'No action needed.'

/**
 * All log events. Numbers are grouped: 1xx process, 2xx replicated log, 3xx configuration, 4xx hosts and backend
 * servers, 5xx requests, 6xx jobs.
 */
export const LogEvents = {
  processStarted: { number: 100, level: Level.Info, text: 'process started', action: noAction },
  processDraining: { number: 101, level: Level.Info, text: 'shutdown requested; draining', action: noAction },
  drainLimited: { number: 112, level: Level.Warn, text: 'shutdown does not wait any longer for requests in flight; their connections are closed', action: 'Look for clients that send or read very slowly, or raise --max-drain-ms.' },
  processEnded: { number: 102, level: Level.Info, text: 'process ended', action: noAction },
  processFailed: { number: 103, level: Level.Error, text: 'process ended because of a failure', action: 'Read the failure; restart the process.' },
  settingsRefused: { number: 104, level: Level.Error, text: 'setting rejected', action: 'Correct the setting.' },
  settingsReloaded: { number: 105, level: Level.Info, text: 'settings file reloaded', action: noAction },
  linesDropped: { number: 106, level: Level.Warn, text: 'log lines dropped: rate or buffer limit exceeded', action: 'Metrics are not affected; raise the log level if it repeats.' },
  eventLoopDelayed: { number: 107, level: Level.Warn, text: 'event loop delayed: timers ran late', action: 'Check the CPU time and memory of the host; a paused or suspended process writes this event too.' },
  resourcesUsed: { number: 108, level: Level.Info, text: 'resources used by the process since the last such event', action: noAction },
  gatewayOverloaded: { number: 118, level: Level.Warn, text: 'gateway has been busy for most of the time for seconds; callers are directed to others', action: 'Add gateways, or processor time for this one, if it repeats.' },
  gatewayRelieved: { number: 119, level: Level.Info, text: 'gateway is no longer overloaded', action: noAction },
  unexpectedError: { number: 109, level: Level.Error, text: 'unexpected error; the request, run or task has ended, the process continues', action: 'Report the error with its stack.' },
  clientMemoryUsed: { number: 110, level: Level.Warn, text: 'memory for clients used up; uploads or unread answers had to give way', action: 'Look for clients with many large uploads that do not end; see "Clients that are not trusted" in docs/operations.md.' },
  callerConnectionsClosed: { number: 111, level: Level.Warn, text: 'connections of callers closed at a limit', action: 'Look for clients with many connections; see "Clients that are not trusted" in docs/operations.md.' },
  folderMovedAside: { number: 213, level: Level.Error, text: 'damaged data folder moved aside; joining under a new identity', action: 'Check the disk.' },
  logLoaded: { number: 200, level: Level.Info, text: 'log loaded from the data folder', action: noAction },
  tornRecordTruncated: { number: 201, level: Level.Warn, text: 'incomplete last record of the log truncated', action: noAction },
  logDamaged: { number: 202, level: Level.Error, text: 'damaged record before the end of the log', action: 'Keep a copy of the data folder, then empty it and restart: the host joins under a new identity. Do this for one host at a time, while a majority of the others runs.' },
  logBootstrapped: { number: 203, level: Level.Info, text: 'replicated log bootstrapped with its first membership', action: noAction },
  leaderElected: { number: 204, level: Level.Info, text: 'this replica became leader', action: noAction },
  leaderLost: { number: 205, level: Level.Warn, text: 'this replica is no longer leader', action: 'Check the network between control hosts if it repeats.' },
  membersChanged: { number: 206, level: Level.Info, text: 'membership of control hosts changed', action: noAction },
  syncFailed: { number: 207, level: Level.Error, text: 'writing or syncing the log failed; the process ends', action: 'Check the disk. If it is lost, empty the data folder on a new disk and restart: the host joins under a new identity.' },
  snapshotWritten: { number: 208, level: Level.Info, text: 'snapshot written and earlier log removed', action: noAction },
  snapshotInstalled: { number: 209, level: Level.Info, text: 'snapshot received from the leader and installed', action: noAction },
  joinRequested: { number: 210, level: Level.Warn, text: 'data folder is empty; requesting to join under a new identity', action: 'Wait for event 212 on the leader before taking another control host down.' },
  joinRefused: { number: 211, level: Level.Error, text: 'join of a control host refused: limit of seven members reached', action: 'Stop the host, or reuse the address of a lost member.' },
  replicationDelayed: { number: 214, level: Level.Warn, text: 'request to another control host failed or took long', action: 'Compare the size of the request with its duration: check the network to the control host, and the load of both.' },
  leaderContactLost: { number: 215, level: Level.Warn, text: 'member has no contact with a leader; requesting to join again', action: 'Check that a majority of control hosts runs and is reachable.' },
  memberPromoted: { number: 212, level: Level.Info, text: 'control host has caught up and is a voter; the repair is complete', action: noAction },
  diskFull: { number: 216, level: Level.Error, text: 'the disk of the data folder is full; this control host writes nothing, does not lead and grants no votes until there is space', action: 'Free space on the disk; a restart is not needed.' },
  diskSpaceFound: { number: 217, level: Level.Info, text: 'the disk of the data folder has free space again; the writes that waited are done', action: noAction },
  snapshotDelayed: { number: 218, level: Level.Warn, text: 'no space on the disk for a snapshot; the log is kept and the snapshot is tried again', action: 'Free space on the disk.' },
  configurationActivated: { number: 300, level: Level.Info, text: 'configuration version activated', action: noAction },
  configurationStale: { number: 301, level: Level.Error, text: 'no confirmed configuration; refusing new requests', action: 'Check that a majority of control hosts runs and is reachable.' },
  configurationConfirmed: { number: 302, level: Level.Info, text: 'configuration confirmed again', action: noAction },
  configurationBehind: { number: 303, level: Level.Error, text: 'control has an older configuration than this host; refusing new requests', action: 'Check whether the control hosts lost their data; restart this host to adopt their version.' },
  tablesEncoded: { number: 304, level: Level.Info, text: 'tables encoded for the hosts that fetch them', action: noAction },
  tablesDelayed: { number: 305, level: Level.Warn, text: 'host has known of newer tables for a while and has not received them', action: 'Check the network to the control hosts, and their load.' },
  backendServerAnnounced: { number: 400, level: Level.Info, text: 'backend server announced itself', action: noAction },
  backendServerLeaving: { number: 401, level: Level.Info, text: 'backend server is leaving', action: noAction },
  backendServerExpired: { number: 402, level: Level.Warn, text: 'announcement of a backend server expired', action: 'Check the backend server.' },
  leavingInResponse: { number: 403, level: Level.Info, text: 'backend server says in a response that it is leaving; this host sends it no new requests', action: noAction },
  withdrawalIgnored: { number: 404, level: Level.Info, text: 'withdrawal of a backend server ignored; it was sent before the registered start, or that start is not known to the calling host yet', action: noAction },
  hostJoined: { number: 420, level: Level.Info, text: 'host joined the fleet', action: noAction },
  executorLost: { number: 427, level: Level.Warn, text: 'runs of an executor ended without a report; their items resume elsewhere', action: 'Check the executor if it repeats.' },
  hostLost: { number: 421, level: Level.Warn, text: 'session of a host ended', action: 'Check the host if it does not rejoin the fleet.' },
  leaderFound: { number: 422, level: Level.Info, text: 'leader of the control hosts found', action: noAction },
  leaderUnreachable: { number: 423, level: Level.Warn, text: 'leader of the control hosts unreachable; continuing with the last known state', action: 'Check that a majority of control hosts runs and is reachable.' },
  leaderReached: { number: 428, level: Level.Info, text: 'leader of the control hosts reached again', action: 'Compare the time without contact with the failed polls by reason: timeouts point to the leader or the network, many other failures to control hosts that do not lead.' },
  serverSuspected: { number: 424, level: Level.Warn, text: 'backend server suspected after a failed connection; avoided temporarily', action: 'Check the backend server if it repeats.' },
  heartbeatIgnored: { number: 425, level: Level.Debug, text: 'late or invalid heartbeat ignored', action: noAction },
  requestLimitChanged: { number: 426, level: Level.Info, text: 'backend server named another request limit', action: 'Check the backend server: it takes fewer requests than it has slots for.' },
  orderIssuerChanged: { number: 410, level: Level.Info, text: 'this host issues the orders to the engines of a pool', action: noAction },
  orderSent: { number: 411, level: Level.Info, text: 'engine ordered to load a model', action: noAction },
  orderFailed: { number: 412, level: Level.Warn, text: 'order to an engine failed', action: 'Check the backend server if it repeats.' },
  attemptFailed: { number: 500, level: Level.Warn, text: 'attempt on a backend server failed', action: noAction },
  requestRefused: { number: 501, level: Level.Info, text: 'request refused', action: 'See the refusal reason in docs/operations.md.' },
  requestCompleted: { number: 502, level: Level.Info, text: 'request completed', action: noAction },
  responseAborted: { number: 503, level: Level.Warn, text: 'response aborted before its end', action: 'See docs/OPERATIONS.md.' },
  callerDisconnected: { number: 504, level: Level.Info, text: 'caller disconnected before the end of the response', action: noAction },
  resumptionRefused: { number: 505, level: Level.Info, text: 'resumption of a stream by its caller refused', action: 'See the reason in docs/operations.md.' },
  accountLimited: { number: 506, level: Level.Info, text: 'limit of a client account used up; this host refuses a part of its requests', action: 'See the use and the limit. Raise the limit if the account is entitled to more.' },
  accountAdmissions: { number: 507, level: Level.Info, text: 'decisions of this host on the requests of a client account near its limit, at most once a second', action: 'To find the fullest window of an account, add up its admissions over all hosts. See docs/operations.md.' },
  backendServerCrashed: { number: 510, level: Level.Warn, text: 'backend server crashed with requests in flight', action: 'Check the backend server if it repeats.' },
  requestQuarantined: { number: 511, level: Level.Error, text: 'request quarantined because it crashes backend servers', action: 'Find the request by its fingerprint and its earlier failed attempts; correct it at the caller.' },
  traitQuarantined: { number: 512, level: Level.Error, text: 'requests with a trait quarantined because backend servers crash under them', action: 'Find the requests by the trait and by event 500; correct them at the caller.' },
  traitReleased: { number: 513, level: Level.Info, text: 'quarantine of a trait ended', action: noAction },
  connectionTimedOut: { number: 520, level: Level.Warn, text: 'connection to a backend server timed out and was closed', action: 'Check the network to the backend server if it repeats.' },
  callerStalled: { number: 521, level: Level.Info, text: 'caller stopped reading the response; connection closed', action: noAction },
  itemFailed: { number: 600, level: Level.Info, text: 'batch item ended as failed', action: 'Read the reason in the job\'s results.' },
  dispatchFailed: { number: 601, level: Level.Warn, text: 'batch dispatch call to control failed', action: 'Check the control hosts if it repeats.' },
  sessionExpired: { number: 602, level: Level.Warn, text: 'session with control expired; batch items are stopped', action: 'Check the network to the control hosts and the load of this host if it repeats.' },
  submissionAccepted: { number: 620, level: Level.Info, text: 'job accepted', action: noAction },
  submissionRefused: { number: 621, level: Level.Info, text: 'job refused', action: 'See the reason; the caller submits the job again.' },
  submissionEnded: { number: 622, level: Level.Info, text: 'job ended by its caller', action: noAction },
  itemStarted: { number: 623, level: Level.Info, text: 'batch item sent to a backend server', action: noAction },
  itemInterrupted: { number: 624, level: Level.Info, text: 'batch item interrupted; it resumes later', action: noAction },
  itemEndRecorded: { number: 625, level: Level.Info, text: 'end of a batch item recorded', action: noAction },
  runReportFailed: { number: 626, level: Level.Warn, text: 'reporting runs of batch items to the leader failed; retrying', action: 'Check the control hosts if it repeats.' },
  runsStopped: { number: 627, level: Level.Warn, text: 'runs of batch items stopped: no contact with a leader', action: 'Check the network to the control hosts.' },
  outputFull: { number: 628, level: Level.Error, text: 'results and saved progress of jobs have reached their maximum size; only batch items with saved progress are started', action: 'Check the backend servers for outputs that are too long. The others start when these have ended, or when closed jobs are purged.' },
  outputSpaceFound: { number: 629, level: Level.Info, text: 'results and saved progress of jobs are below their maximum size again', action: noAction },
  openItems: { number: 630, level: Level.Info, text: 'batch items without a result, by what they wait for', action: 'No action needed while the items named as the oldest change.' },
  itemEndDropped: { number: 631, level: Level.Warn, text: 'end of a batch item added no result, because its saved progress differs; the item runs again', action: 'Report the event if it repeats for an item.' },
  uploadDiscarded: { number: 632, level: Level.Warn, text: 'job that is being uploaded discarded, because it has received nothing for a while and others need its space', action: 'No action needed: its caller uploads it again. Look for clients with many uploads that do not end, or raise --max-open-upload-mb.' },
  jobSpaceUsed: { number: 633, level: Level.Warn, text: 'jobs are refused, because the items of accepted jobs that have not run take all of their space', action: 'No action needed while items run. Check the backend servers, look for clients with many large jobs, or raise --max-open-job-mb.' },
  publicationAccepted: { number: 310, level: Level.Info, text: 'published tables accepted', action: noAction },
  publicationUnconfirmed: { number: 312, level: Level.Info, text: 'published tables committed, but not confirmed by every gateway yet', action: 'No action needed: the operator publishes the same tables again, and event 310 follows. Check the named gateway if it repeats.' },
  publicationRefused: { number: 311, level: Level.Warn, text: 'published tables refused', action: 'Read the reason; publish corrected tables.' },
  leaseAcquired: { number: 610, level: Level.Info, text: 'batch dispatch lease acquired', action: noAction },
  leaseEnded: { number: 611, level: Level.Info, text: 'batch dispatch under the lease ended', action: noAction },
  claimFailed: { number: 612, level: Level.Warn, text: 'claim of batch items failed; retrying', action: 'Check the control hosts if it repeats.' }
} as const satisfies Readonly<Record<string, LogEvent>>
