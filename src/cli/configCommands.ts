/**
 * The `config` commands, and `customer`, `shape` and `rule`, which edit the same document.
 */
import * as oclif from '@oclif/core';
import * as jsonc from 'jsonc-parser';

import * as errors from '../base/common/errors.js';
import * as configuration from '../state/common/configuration.js';

import * as commandDefinition from './commandDefinition.js';
import * as documentEdits from './documentEdits.js';
import * as inputDocument from './inputDocument.js';
import * as inputStream from './inputStream.js';
import * as textTable from './textTable.js';

type Input = commandDefinition.CommandInput;
type Result = commandDefinition.CommandResult;

const WRITE_FLAGS = {
  reason: oclif.Flags.string({ summary: 'Reason, for the audit log.', required: true }),
  'dry-run': oclif.Flags.boolean({ summary: 'Show what would change and write nothing.' }),
  'accept-stranding': oclif.Flags.boolean({
    summary: 'Write even if running guaranteed jobs lose their guarantee.',
  }),
};

const textOf = (value: unknown): string => (value === undefined ? '-' : JSON.stringify(value));

const timeOf = (atMs: number): string => new Date(atMs).toISOString();

const current = async (input: Input): Promise<configuration.ConfigurationRecord> => {
  const { record } = (await input.client.get('/api/config')) as {
    readonly record: configuration.ConfigurationRecord | null;
  };
  if (record !== null) return record;
  throw errors.fail('notFound', 'no configuration is active yet', { field: 'config' });
};

const parseDocument = async (input: Input): Promise<configuration.ConfigurationDocument> => {
  const file = commandDefinition.fileArg(input, 0);
  const name = inputStream.displayName(file);
  const problems: jsonc.ParseError[] = [];
  const text = await input.readText(file);
  const parsed = jsonc.parse(text, problems, { allowTrailingComma: true }) as unknown;
  const [problem] = problems;
  if (problem !== undefined) {
    const what = jsonc.printParseErrorCode(problem.error);
    throw errors.fail('invalidRequest', `${name}: not JSON with comments: ${what}`);
  }
  return inputDocument.decodeOrFail(configuration.ConfigurationDocument, parsed, name);
};

const differenceLines = (list: readonly documentEdits.Difference[]): readonly string[] =>
  list.length === 0
    ? ['no differences']
    : textTable.formatTable({
        columns: ['path', 'before', 'after'],
        rows: list.map((it) => [it.path, textOf(it.before), textOf(it.after)]),
      });

/** The entry's answer to a dry run. */
interface Preview {
  readonly effects?: readonly { readonly level: string; readonly text: string }[];
}

/** Extends a conflict error by the other operator's changes, followed by this operator's. */
const withBothChanges = (
  error: errors.AuburnliftError,
  base: configuration.ConfigurationRecord,
  changes: readonly documentEdits.Difference[],
): errors.AuburnliftError => {
  const currentRecord = error.detail.facts?.current as
    configuration.ConfigurationRecord | undefined;
  if (error.kind !== 'conflict' || currentRecord?.document === undefined) return error;
  const otherChanges = documentEdits.differences(base.document, currentRecord.document);
  const lines = [
    error.message,
    `changed by ${currentRecord.author} since version ${base.version}:`,
    ...differenceLines(otherChanges),
    'your change:',
    ...differenceLines(changes),
  ];
  return errors.fail('conflict', lines.join('\n'), error.detail);
};

/** Reads the version that a change is based on; an earlier one is in the history. */
const baseOf = async (input: Input): Promise<configuration.ConfigurationRecord> => {
  const version = input.flags['base-version'];
  const record = await current(input);
  if (typeof version !== 'number' || version === record.version) return record;
  const path = `/api/config/history/${version}`;
  const earlier = (await input.client.get(path)) as {
    readonly record: configuration.ConfigurationRecord;
  };
  return earlier.record;
};

/** Sends a change. The write id makes it idempotent, so it is sent again if the response was lost. */
const write = async (
  input: Input,
  base: configuration.ConfigurationRecord,
  document: configuration.ConfigurationDocument,
): Promise<Result> => {
  const changes = documentEdits.differences(base.document, document);
  const body = {
    baseVersion: base.version,
    writeId: input.newId(),
    reason: commandDefinition.textFlag(input, 'reason'),
    document,
    ...(commandDefinition.hasFlag(input, 'accept-stranding') ? { isStrandingAccepted: true } : {}),
  };
  if (commandDefinition.hasFlag(input, 'dry-run')) {
    const path = '/api/config?dryRun=true';
    const preview = (await input.client.send('PUT', path, body)) as Preview;
    const effects = (preview.effects ?? []).map((it) => `${it.level}: ${it.text}`);
    const lines = [...differenceLines(changes), ...effects, 'nothing was written (--dry-run)'];
    return { value: preview, lines };
  }
  if (changes.length === 0) {
    return {
      value: { version: base.version, changes },
      lines: ['no differences, nothing was written'],
    };
  }
  const send = (): Promise<unknown> => input.client.send('PUT', '/api/config', body);
  const answer = await send()
    .catch((thrown: unknown) => {
      if (errors.normalize(thrown).kind !== 'outcomeUnknown') throw thrown;
      return send();
    })
    .catch((thrown: unknown) => {
      throw withBothChanges(errors.normalize(thrown), base, changes);
    });
  const { record } = answer as { readonly record: configuration.ConfigurationRecord };
  const lines = [...differenceLines(changes), `wrote version ${record.version}`];
  return { value: { version: record.version, writeId: record.writeId, changes }, lines };
};

const get: commandDefinition.CommandDefinition = {
  summary: 'Print the active configuration.',
  examples: ['config get > configuration.jsonc', 'config get --version 12'],
  argNames: [],
  flags: { version: oclif.Flags.integer({ summary: 'An earlier version.', min: 1 }) },
  run: async (input) => {
    const { version } = input.flags;
    const path = `/api/config/history/${String(version)}`;
    const record =
      version === undefined
        ? await current(input)
        : ((await input.client.get(path)) as { record: configuration.ConfigurationRecord }).record;
    return { value: record, lines: JSON.stringify(record.document, undefined, 2).split('\n') };
  },
};

const check: commandDefinition.CommandDefinition = {
  summary: 'Validate a document and show its effects without writing it.',
  examples: ['config check configuration.jsonc'],
  argNames: [commandDefinition.FILE_ARG],
  run: async (input) => {
    const document = await parseDocument(input);
    const base = await current(input);
    const flags = { ...input.flags, 'dry-run': true, reason: 'check' };
    return write({ ...input, flags }, base, document);
  },
};

const diff: commandDefinition.CommandDefinition = {
  summary: 'Show the differences between a document and the active configuration.',
  examples: ['config diff configuration.jsonc'],
  argNames: [commandDefinition.FILE_ARG],
  run: async (input) => {
    const document = await parseDocument(input);
    const changes = documentEdits.differences((await current(input)).document, document);
    return { value: changes, lines: differenceLines(changes) };
  },
};

const apply: commandDefinition.CommandDefinition = {
  summary: 'Write a document as the next version.',
  description:
    'Without --base-version the document replaces the active version. With it, a version that ' +
    'another operator wrote in the meantime is a conflict (exit code 14) and nothing is written.',
  examples: [
    'config apply configuration.jsonc --base-version 12 --reason "more capacity for plans"',
  ],
  argNames: [commandDefinition.FILE_ARG],
  flags: {
    ...WRITE_FLAGS,
    'base-version': oclif.Flags.integer({
      summary: 'Version that your changes are based on.',
      min: 0,
    }),
  },
  run: async (input) => {
    const document = await parseDocument(input);
    return write(input, await baseOf(input), document);
  },
};

const history: commandDefinition.CommandDefinition = {
  summary: 'List the retained versions.',
  examples: ['config history', 'config history --json'],
  argNames: [],
  run: async (input) => {
    const value = (await input.client.get('/api/config/history')) as {
      readonly versions: readonly Omit<configuration.ConfigurationRecord, 'document'>[];
    };
    const rows = value.versions.map((it) => [
      it.version,
      timeOf(it.writtenAtMs),
      it.author,
      it.reason,
    ]);
    const columns = ['version', 'written', 'author', 'reason'];
    return { value, lines: textTable.formatTable({ columns, rows }) };
  },
};

/** Response of `/api/config/status`. */
interface Status {
  readonly version: number;
  readonly inForceAfterMs?: number;
  readonly stragglers: readonly string[];
  readonly warnings?: readonly string[];
  readonly processes: readonly {
    readonly processId: string;
    readonly role: string;
    readonly zone: string;
    readonly version?: number;
  }[];
}

const status: commandDefinition.CommandDefinition = {
  summary: 'Show the configuration version of each process.',
  examples: ['config status', 'config status --watch 2'],
  argNames: [],
  canWatch: true,
  run: async (input) => {
    const value = (await input.client.get('/api/config/status')) as Status;
    const rows = value.processes.map((it) => [it.processId, it.role, it.zone, it.version]);
    const { version, stragglers, inForceAfterMs, warnings = [] } = value;
    const lines = [
      ...textTable.formatTable({ columns: ['process', 'role', 'zone', 'version'], rows }),
      `version ${version}, stragglers: ${stragglers.join(', ') || 'none'}`,
      ...(inForceAfterMs === undefined
        ? []
        : [`active everywhere after ${Math.round(inForceAfterMs)} ms`]),
      ...warnings.map((it) => `warning: ${it}`),
    ];
    return { value, lines };
  },
};

const edit = (
  list: documentEdits.ListName,
  name: string,
  change: (
    document: configuration.ConfigurationDocument,
    input: Input,
  ) => configuration.ConfigurationDocument,
  help: Pick<commandDefinition.CommandDefinition, 'summary' | 'examples'>,
  acceptsMoreArgs: boolean,
): commandDefinition.CommandDefinition => ({
  ...help,
  description: `Edits ${list} of the configuration document; the fields are those of a ${name} there.`,
  argNames: ['id'],
  acceptsMoreArgs,
  flags: WRITE_FLAGS,
  run: async (input) => {
    const base = await current(input);
    return write(input, base, change(base.document, input));
  },
});

const listCommand = (
  list: documentEdits.ListName,
  name: string,
): commandDefinition.CommandDefinition => ({
  summary: `List every ${name} of the active configuration.`,
  examples: [`${name} list`, `${name} list --json`],
  argNames: [],
  run: async (input) => {
    const items: readonly Readonly<Record<string, unknown>>[] = (await current(input)).document[
      list
    ];
    const columns = [...new Set(items.flatMap((it) => Object.keys(it)))];
    const rows = items.map((it) =>
      columns.map((column) => {
        const value = it[column];
        return typeof value === 'string' || typeof value === 'number' ? value : textOf(value);
      }),
    );
    return { value: items, lines: textTable.formatTable({ columns, rows }) };
  },
});

const editCommands = (
  list: documentEdits.ListName,
  name: string,
  sample: string,
  fields: string,
): Readonly<Record<string, commandDefinition.CommandDefinition>> => {
  const given = (input: Input): Readonly<Record<string, unknown>> =>
    documentEdits.parseFields(input.args.slice(1));
  const idOf = (input: Input): string => input.args[0] ?? '';
  const [firstField = ''] = fields.split(' ');
  return {
    [`${name}:list`]: listCommand(list, name),
    [`${name}:add`]: edit(
      list,
      name,
      (document, input) => documentEdits.addItem(document, list, idOf(input), given(input)),
      {
        summary: `Add a ${name}.`,
        examples: [`${name} add ${sample} ${fields} --reason "new contract"`],
      },
      true,
    ),
    [`${name}:set`]: edit(
      list,
      name,
      (document, input) => documentEdits.setItem(document, list, idOf(input), given(input)),
      {
        summary: `Change fields of a ${name}.`,
        examples: [`${name} set ${sample} ${firstField} --reason "new contract" --dry-run`],
      },
      true,
    ),
    [`${name}:remove`]: edit(
      list,
      name,
      (document, input) => documentEdits.removeItem(document, list, idOf(input)),
      {
        summary: `Remove a ${name}.`,
        examples: [`${name} remove ${sample} --reason "contract ended"`],
      },
      false,
    ),
  };
};

/** The commands of this module by name. */
export const CONFIG_COMMANDS: Readonly<Record<string, commandDefinition.CommandDefinition>> = {
  'config:get': get,
  'config:check': check,
  'config:diff': diff,
  'config:apply': apply,
  'config:history': history,
  'config:status': status,
  ...editCommands(
    'customers',
    'customer',
    'festivals',
    'requestWeight=4 name="Festivals" guaranteedSlots=2 quotaAccelerators=64',
  ),
  ...editCommands(
    'shapes',
    'shape',
    'festival-plan',
    'count=1 customerId=festivals cell=sudvestur-a accelerators=16 adjacency=rack',
  ),
  ...editCommands(
    'rules',
    'rule',
    'night',
    'weight=1 customerIds=["rosters"] cells=[] maxAccelerators=8 throttleFirst=false',
  ),
};
