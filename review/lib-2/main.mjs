/** Runs a case: starts the site, plays it, ends all processes, and exits with 1 (broken), 0 (held) or 2 (not run). */
import * as path from 'node:path';

import * as sites from './site.mjs';

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * @param folder - folder of the case
 * @param options - of the site
 * @param play - plays the case and returns what breaks the rule, each as a text; undefined if it could not run
 */
export const runCase = async (folder, options, play) => {
  const site = await sites.startSite({ ...options, recordFile: path.join(folder, 'record.txt') });
  let code = 2;
  try {
    const found = (await site.whenReady()) ? await play(site) : undefined;
    if (found !== undefined) {
      found.forEach(site.record);
      console.log(found.length === 0 ? 'the rule held' : found.join('\n'));
      code = found.length === 0 ? 0 : 1;
    }
    for (const it of site.processes) {
      if (it.exits() > 0) site.record(`${it.name} ended by itself ${it.exits()} times`);
    }
  } catch (error) {
    site.record(`could not run: ${error.stack}`);
  } finally {
    await site.close();
  }
  process.exit(code);
};
