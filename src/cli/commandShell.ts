/**
 * Builds an oclif command from a definition: help, flags, output, repetition and exit codes.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

import * as oclif from '@oclif/core';

import * as errorKinds from '../base/common/errorKinds.js';
import * as errors from '../base/common/errors.js';
import type * as http from '../base/common/http.js';
import * as systemClock from '../base/node/systemClock.js';
import * as httpClient from '../transport/node/httpClient.js';

import * as commandDefinition from './commandDefinition.js';
import * as inputStream from './inputStream.js';
import * as operatorClient from './operatorClient.js';
import * as quote from './quote.js';

const TIMEOUT_MS = 15_000;
const MAX_REPLY_BYTES = 268_435_456;
/** The exit code of oclif for a wrong command line. */
const USAGE_ERROR_STATUS = 2;

const JSON_FLAG = { json: oclif.Flags.boolean({ summary: 'Print JSON for programs.' }) };

const CONNECTION_FLAGS = {
  url: oclif.Flags.string({
    summary: 'Operator address of an entry, http://host:port.',
    env: 'AUBURNLIFT_URL',
    helpGroup: 'CONNECTION',
  }),
  token: oclif.Flags.string({
    summary: "Operator's token; set in the environment, it stays out of the process list.",
    env: 'AUBURNLIFT_TOKEN',
    // oclif would show the default in the help and so print the secret.
    noCacheDefault: true,
    helpGroup: 'CONNECTION',
  }),
};

const WATCH_FLAG = {
  watch: oclif.Flags.integer({
    summary: 'Repeat every so many seconds until interrupted.',
    min: 1,
    max: 3600,
  }),
};

const required = (value: string | undefined, name: string, variable: string): string => {
  if (value !== undefined && value !== '') return value;
  throw errors.fail('invalidRequest', `give --${name} or set ${variable}`, { field: name });
};

const connect = (
  call: http.HttpCall,
  flags: Readonly<Record<string, unknown>>,
): operatorClient.OperatorClient =>
  operatorClient.createOperatorClient({
    call,
    url: required(flags.url as string | undefined, 'url', 'AUBURNLIFT_URL'),
    token: required(flags.token as string | undefined, 'token', 'AUBURNLIFT_TOKEN'),
    timeoutMs: TIMEOUT_MS,
  });

const argsOf = (
  definition: commandDefinition.CommandDefinition,
): Record<string, oclif.Interfaces.Arg<string | undefined>> =>
  Object.fromEntries(
    definition.argNames.map((argName) => {
      const isOptional = argName.endsWith('?');
      const name = isOptional ? argName.slice(0, -1) : argName;
      // The commands read standard input; otherwise oclif would use piped data as the argument.
      return [name, oclif.Args.string({ required: !isOptional, ignoreStdin: true })];
    }),
  );

/** Fails if the file is omitted on a terminal, where the command would silently wait for input. */
const refuseTerminal = (
  { argNames }: commandDefinition.CommandDefinition,
  args: readonly string[],
): void => {
  const isOmitted = argNames.at(-1) === commandDefinition.FILE_ARG && args.length < argNames.length;
  if (!isOmitted || !process.stdin.isTTY) return;
  throw new oclif.Errors.CLIError('FILE is missing: give one, or pipe into the command', {
    exit: USAGE_ERROR_STATUS,
  });
};

/** The client calls of an offline command. */
const refuseCall = (): never => {
  throw errors.fail('internal', 'this command has no connection to an entry');
};

const OFFLINE_CLIENT: operatorClient.OperatorClient = {
  get: refuseCall,
  send: refuseCall,
};

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/**
 * @param thrown - anything caught
 * @param isJson - whether to format it as JSON for programs
 * @param given - arguments and flag values of the command line
 * @returns the line for standard error
 */
const formatError = (thrown: unknown, isJson: boolean, given: readonly string[]): string => {
  const error = errors.normalize(thrown);
  const message = quote.truncateWithin(error.message, given);
  if (!isJson) return `error: ${error.kind}: ${message}`;
  const { field, ...body } = errors.toBody(error);
  const quoted = field === undefined ? {} : { field: quote.truncateWithin(field, given) };
  return JSON.stringify({ error: { ...body, message, ...quoted } });
};

/**
 * @param definition - one command
 * @returns the class that oclif runs
 */
export const toCommand = (
  definition: commandDefinition.CommandDefinition,
): typeof oclif.Command & (new (...args: never[]) => oclif.Command) => {
  class DefinedCommand extends oclif.Command {
    static override readonly summary = definition.summary;

    static override readonly description = definition.description ?? '';

    static override readonly examples = definition.examples.map((it) => `<%= config.bin %> ${it}`);

    static override readonly strict = definition.acceptsMoreArgs !== true;

    static override readonly args = argsOf(definition);

    static override readonly flags = {
      ...JSON_FLAG,
      ...(definition.isOffline === true ? {} : CONNECTION_FLAGS),
      ...(definition.canWatch === true ? WATCH_FLAG : {}),
      ...definition.flags,
    };

    async run(): Promise<void> {
      const parsed = await this.parse(DefinedCommand);
      const flags = parsed.flags as Readonly<Record<string, unknown>>;
      const isJson = flags.json === true;
      refuseTerminal(definition, parsed.argv as readonly string[]);
      const connections = httpClient.createHttpClient({
        clock: systemClock.systemClock,
        maxConnections: 4,
        maxIdleMs: 20_000,
        maxReplyBytes: MAX_REPLY_BYTES,
      });
      let exitCode = 0;
      try {
        const client =
          definition.isOffline === true ? OFFLINE_CLIENT : connect(connections.call, flags);
        exitCode = await this.repeat(client, parsed.argv as readonly string[], flags);
      } catch (thrown) {
        this.logToStderr(formatError(thrown, isJson, this.argv));
        exitCode = errorKinds.ERROR_TABLE[errors.normalize(thrown).kind].exitCode;
      } finally {
        await connections.dispose();
      }
      this.exit(exitCode);
    }

    private async repeat(
      client: operatorClient.OperatorClient,
      args: readonly string[],
      flags: Readonly<Record<string, unknown>>,
    ): Promise<number> {
      for (;;) {
        const result = await definition.run({
          client,
          args,
          flags,
          readText: inputStream.readDocument,
          eachLine: inputStream.eachLine,
          writeText: (file, text) => fs.writeFileSync(file, text),
          newId: () => crypto.randomUUID(),
          nowMs: Date.now(),
        });
        if (flags.json === true) this.log(JSON.stringify(result.value));
        else result.lines.forEach((it) => this.log(it));
        if (typeof flags.watch !== 'number') return result.exitCode ?? 0;
        await sleep(flags.watch * 1000);
        if (flags.json !== true) this.log('');
      }
    }
  }
  return DefinedCommand;
};
