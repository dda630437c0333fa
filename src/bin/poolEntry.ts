#!/usr/bin/env node
/**
 * Starts the entry of a pool with the settings file that the platform names.
 */
import '../base/node/earlySignals.js';

import * as program from '../programs/poolEntry.js';
import * as runPoolMain from '../programs/runPoolMain.js';

await runPoolMain.runPoolMain('entry', program.startPoolEntry);
