#!/usr/bin/env node
/**
 * Starts the scheduler of a pool with the settings file that the platform names.
 */
import '../base/node/earlySignals.js';

import * as program from '../programs/poolScheduler.js';
import * as runPoolMain from '../programs/runPoolMain.js';

await runPoolMain.runPoolMain('scheduler', program.startPoolScheduler);
