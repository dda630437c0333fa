#!/usr/bin/env node
/**
 * `auburnlift-scheduler --settings FILE.jsonc`.
 */
import * as program from '../programs/scheduler.js';
import * as runMain from '../programs/runMain.js';
import * as settings from '../state/common/settings.js';

await runMain.runMain(settings.SchedulerSettings, program.startScheduler);
