#!/usr/bin/env node
/**
 * `auburnlift-entry --settings FILE.jsonc`.
 */
import * as program from '../programs/entry.js';
import * as runMain from '../programs/runMain.js';
import * as settings from '../state/common/settings.js';

await runMain.runMain(settings.EntrySettings, program.startEntry);
