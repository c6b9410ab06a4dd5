/**
 * Sets a damaged data folder aside, so that its host can join again as after a lost disk.
 * @module
 */
import { mkdir, readdir, rename, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { syncFolder } from './folderFiles.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

const asideName = 'damaged'

/**
 * Moves the content of a data folder into a subfolder; what was set aside before is removed.
 * @param folder - the data folder
 * @param logger - log events
 */
export async function moveAside (folder: string, logger: Logger): Promise<void> {
  const aside = join(folder, asideName)
  await rm(aside, { recursive: true, force: true })
  const names = await readdir(folder)
  await mkdir(aside)
  for (const name of names) await rename(join(folder, name), join(aside, name))
  await syncFolder(aside)
  await syncFolder(folder)
  logger.write(LogEvents.folderMovedAside, { detail: aside, value: names.length })
}
