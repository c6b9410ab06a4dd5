/**
 * Worker thread of ownDelay.ts. It runs jaychute or a stand-in backend server, which are separate processes in production.
 * This file is plain JavaScript, since a worker thread starts without the loader of tsx.
 * @module
 */
import { parentPort, workerData } from 'node:worker_threads'
import { tsImport } from 'tsx/esm/api'

if (workerData.entryHost === undefined) {
  const { startSystem } = await tsImport('../test/support/system.ts', import.meta.url)
  const system = await startSystem()
  await system.apply([{ name: 'assist', pool: 'assist' }], [{ name: 'assist' }])
  parentPort.postMessage(system.callerAddress)
} else {
  const { startStandIn } = await tsImport('../test/standIn/standIn.ts', import.meta.url)
  // No slowdown and no prefill, so that the backend server takes the same time for both kinds of call.
  const standIn = await startStandIn({ entryHosts: [workerData.entryHost], tokenMs: 2, slowdownMs: 0, prefillMs: 0 })
  parentPort.postMessage(standIn.address)
}
