#!/usr/bin/env node
/**
 * The scheduler of pools; reads the settings file that the platform names.
 */
import '../base/node/earlySignals.js';

import * as program from '../programs/poolScheduler.js';
import * as runPoolMain from '../programs/runPoolMain.js';

await runPoolMain.runPoolMain('scheduler', program.startPoolScheduler);
