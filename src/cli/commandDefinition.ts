/**
 * What a command is: flags, help and a function from its input to a result. The shell around it
 * (`commandShell`) parses, prints and turns errors into exit codes.
 */
import type * as oclif from '@oclif/core';

import type * as inputStream from './inputStream.js';
import type * as operatorClient from './operatorClient.js';

/** What a command is given. */
export interface CommandInput {
  readonly client: operatorClient.OperatorClient;
  /** Words after the command's name. */
  readonly args: readonly string[];
  readonly flags: Readonly<Record<string, unknown>>;
  /** Reads a whole document from a file, or from standard input for `-`. */
  readonly readText: (file: string) => Promise<string>;
  /** Reads a file, or standard input for `-`, line by line. */
  readonly eachLine: typeof inputStream.eachLine;
  readonly writeText: (file: string, text: string) => void;
  readonly newId: () => string;
  /** Wall time. */
  readonly nowMs: number;
}

/** What a command found or did. */
export interface CommandResult {
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed for people. */
  readonly lines: readonly string[];
  /** 0 unless given. */
  readonly exitCode?: number;
}

/** One command. */
export interface CommandDefinition {
  readonly summary: string;
  readonly description?: string;
  /** Lines without the program's name. */
  readonly examples: readonly string[];
  /** Names of the words that it takes; a `?` at the end marks one that may be left out. */
  readonly words: readonly string[];
  /** Whether further words may follow. */
  readonly hasMoreWords?: boolean;
  readonly flags?: oclif.Interfaces.FlagInput;
  /** Whether it may be repeated with `--watch`. */
  readonly canWatch?: boolean;
  /** Works without an entry: it takes no address and its client refuses every call. */
  readonly isOffline?: boolean;
  /** @throws AuburnliftError, which decides the exit code */
  readonly run: (input: CommandInput) => Promise<CommandResult>;
}

/** The last word of a command that reads a file; without it, what is piped in. */
export const FILE_WORD = 'file?';

/**
 * @param input - what a command is given
 * @param index - place of its file among the words
 * @returns the file, `-` for standard input
 */
export const fileWord = (input: CommandInput, index: number): string => input.args[index] ?? '-';

/**
 * @param input - what a command is given
 * @param name - a flag with text
 * @returns its value, if it was given
 */
export const textFlag = (input: CommandInput, name: string): string | undefined => {
  const value = input.flags[name];
  return typeof value === 'string' ? value : undefined;
};

/**
 * @param input - what a command is given
 * @param name - a flag without a value
 * @returns whether it was given
 */
export const hasFlag = (input: CommandInput, name: string): boolean => input.flags[name] === true;
