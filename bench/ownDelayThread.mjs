/**
 * The system or its stand-in backend server in a thread of its own, as they are processes of their own in use. Plain
 * JavaScript, since a thread starts without the loader of tsx.
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
  // Time for tokens without slowdown, so that both kinds of call meet the same backend server.
  const standIn = await startStandIn({ entryHosts: [workerData.entryHost], tokenMs: 2, slowdownMs: 0, prefillMs: 0 })
  parentPort.postMessage(standIn.address)
}
