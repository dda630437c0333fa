#!/usr/bin/env node
/**
 * `auburnlift-agent --settings FILE.jsonc`.
 */
import * as program from '../programs/agent.js';
import * as runMain from '../programs/runMain.js';
import * as settings from '../state/common/settings.js';

await runMain.runMain(settings.AgentSettings, program.startAgent);
