/**
 * Defines a command: flags, help and a function from its input to a result. `commandShell` parses
 * the command line, prints the result and turns errors into exit codes.
 */
import type * as oclif from '@oclif/core';

import type * as inputStream from './inputStream.js';
import type * as operatorClient from './operatorClient.js';

/** The input of a command. */
export interface CommandInput {
  readonly client: operatorClient.OperatorClient;
  /** Positional arguments. */
  readonly args: readonly string[];
  readonly flags: Readonly<Record<string, unknown>>;
  /** Reads a whole document from a file, or from standard input for `-`. */
  readonly readText: (file: string) => Promise<string>;
  /** Reads a file, or standard input for `-`, line by line. */
  readonly eachLine: typeof inputStream.eachLine;
  readonly writeText: (file: string, text: string) => void;
  readonly newId: () => string;
  /** Wall-clock time. */
  readonly nowMs: number;
}

/** The result of a command. */
export interface CommandResult {
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed for people. */
  readonly lines: readonly string[];
  /** 0 by default. */
  readonly exitCode?: number;
}

/** One command. */
export interface CommandDefinition {
  readonly summary: string;
  readonly description?: string;
  /** Command lines without the program's name. */
  readonly examples: readonly string[];
  /** Names of the positional arguments; a trailing `?` marks an optional one. */
  readonly argNames: readonly string[];
  /** Whether further arguments may follow. */
  readonly acceptsMoreArgs?: boolean;
  readonly flags?: oclif.Interfaces.FlagInput;
  /** Whether it may be repeated with `--watch`. */
  readonly canWatch?: boolean;
  /** Works without an entry: it has no connection flags and its client rejects every call. */
  readonly isOffline?: boolean;
  /** @throws AuburnliftError, which determines the exit code */
  readonly run: (input: CommandInput) => Promise<CommandResult>;
}

/** Name of the last argument of a command that reads a file; standard input if omitted. */
export const FILE_ARG = 'file?';

/**
 * @param input - input of the command
 * @param index - index of the file among the arguments
 * @returns the file, `-` for standard input
 */
export const fileArg = (input: CommandInput, index: number): string => input.args[index] ?? '-';

/**
 * @param input - input of the command
 * @param name - name of a flag with a text value
 * @returns its value, if it was given
 */
export const textFlag = (input: CommandInput, name: string): string | undefined => {
  const value = input.flags[name];
  return typeof value === 'string' ? value : undefined;
};

/**
 * @param input - input of the command
 * @param name - name of a boolean flag
 * @returns whether it was given
 */
export const hasFlag = (input: CommandInput, name: string): boolean => input.flags[name] === true;
