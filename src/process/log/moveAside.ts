/**
 * Moves the content of a damaged data folder aside, so that its host can join again as after the loss of its disk.
 * @module
 */
import { mkdir, readdir, rename, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { syncFolder } from './folderFiles.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

const damagedFolderName = 'damaged'

/**
 * Moves the content of a data folder into a subfolder. Content that was moved aside earlier is deleted.
 * @param folder - the data folder
 * @param logger - receives the log event
 * @throws Error when a file operation fails
 */
export async function moveAside (folder: string, logger: Logger): Promise<void> {
  const target = join(folder, damagedFolderName)
  await rm(target, { recursive: true, force: true })
  const names = await readdir(folder)
  await mkdir(target)
  for (const name of names) await rename(join(folder, name), join(target, name))
  await syncFolder(target)
  await syncFolder(folder)
  logger.write(LogEvents.folderMovedAside, { detail: target, value: names.length })
}
