#!/usr/bin/env node
/**
 * Starts the agent of a pool with the settings file that the platform names.
 */
import '../base/node/earlySignals.js';

import * as program from '../programs/poolAgent.js';
import * as runPoolMain from '../programs/runPoolMain.js';

await runPoolMain.runPoolMain('agent', program.startPoolAgent);
