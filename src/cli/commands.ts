/**
 * The commands of `auburnlift`, by name.
 */
import * as burnCommand from './burnCommand.js';
import * as cellCommands from './cellCommands.js';
import type * as commandDefinition from './commandDefinition.js';
import * as commandShell from './commandShell.js';
import * as configCommands from './configCommands.js';
import * as devCommand from './devCommand.js';
import * as jobCommands from './jobCommands.js';
import * as ledgerCommand from './ledgerCommand.js';
import * as logCommands from './logCommands.js';

/** The commands other than `dev` by name; `:` stands for the space typed on the command line. */
export const DEFINITIONS: Readonly<Record<string, commandDefinition.CommandDefinition>> = {
  ...configCommands.CONFIG_COMMANDS,
  ...jobCommands.JOB_COMMANDS,
  ...cellCommands.CELL_COMMANDS,
  ...logCommands.LOG_COMMANDS,
  ledger: ledgerCommand.LEDGER,
  burn: burnCommand.BURN,
};

/** All commands, loaded by oclif under their names. */
export const COMMANDS = {
  dev: devCommand.DevCommand,
  ...Object.fromEntries(
    Object.entries(DEFINITIONS).map(([name, it]) => [name, commandShell.toCommand(it)]),
  ),
};
