/**
 * The commands of `auburnlift`, by name.
 */
import * as devCommand from './devCommand.js';

/** Read by oclif; the key is what is typed. */
export const COMMANDS = {
  dev: devCommand.DevCommand,
};
