#!/usr/bin/env node
/**
 * The entry of pools; reads the settings file that the platform names.
 */
import '../base/node/earlySignals.js';

import * as program from '../programs/poolEntry.js';
import * as runPoolMain from '../programs/runPoolMain.js';

await runPoolMain.runPoolMain('entry', program.startPoolEntry);
