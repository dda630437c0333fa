#!/usr/bin/env node
/**
 * The command-line client.
 */
import * as program from '../cli/program.js';

await program.runProgram(import.meta.url);
