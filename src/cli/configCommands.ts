/**
 * `config`, and `customer`, `shape` and `rule`, which edit the same document.
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
  reason: oclif.Flags.string({ summary: 'Why, for the audit.', required: true }),
  'dry-run': oclif.Flags.boolean({ summary: 'Show what would change and write nothing.' }),
  'accept-stranding': oclif.Flags.boolean({
    summary: 'Write although running guaranteed jobs lose their guarantee.',
  }),
};

const textOf = (value: unknown): string => (value === undefined ? '-' : JSON.stringify(value));

const timeOf = (atMs: number): string => new Date(atMs).toISOString();

const current = async (input: Input): Promise<configuration.ConfigurationRecord> => {
  const { record } = (await input.client.get('/api/config')) as {
    readonly record: configuration.ConfigurationRecord | null;
  };
  if (record !== null) return record;
  throw errors.fail('notFound', 'no configuration is in force yet', { field: 'config' });
};

const parseDocument = async (input: Input): Promise<configuration.ConfigurationDocument> => {
  const file = commandDefinition.fileWord(input, 0);
  const name = inputStream.nameOf(file);
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
    ? ['nothing differs']
    : textTable.formatTable({
        columns: ['path', 'before', 'after'],
        rows: list.map((it) => [it.path, textOf(it.before), textOf(it.after)]),
      });

/** What the entry says of a change that is not written. */
interface Preview {
  readonly effects?: readonly { readonly level: string; readonly text: string }[];
}

/** A conflict with what the other operator changed and what this one wants, one after the other. */
const withBothSides = (
  error: errors.AuburnliftError,
  base: configuration.ConfigurationRecord,
  changes: readonly documentEdits.Difference[],
): errors.AuburnliftError => {
  const theirRecord = error.detail.facts?.current as configuration.ConfigurationRecord | undefined;
  if (error.kind !== 'conflict' || theirRecord?.document === undefined) return error;
  const theirs = documentEdits.differences(base.document, theirRecord.document);
  const lines = [
    error.message,
    `changed by ${theirRecord.author} since version ${base.version}:`,
    ...differenceLines(theirs),
    'your change:',
    ...differenceLines(changes),
  ];
  return errors.fail('conflict', lines.join('\n'), error.detail);
};

/** The version that a change was made from; its document is in the history. */
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

/** Sends a change; the write id lets the same change be sent again where the answer was lost. */
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
    return { value: { version: base.version, changes }, lines: ['nothing differs or was written'] };
  }
  const send = (): Promise<unknown> => input.client.send('PUT', '/api/config', body);
  const answer = await send()
    .catch((thrown: unknown) => {
      if (errors.normalize(thrown).kind !== 'outcomeUnknown') throw thrown;
      return send();
    })
    .catch((thrown: unknown) => {
      throw withBothSides(errors.normalize(thrown), base, changes);
    });
  const { record } = answer as { readonly record: configuration.ConfigurationRecord };
  const lines = [...differenceLines(changes), `version ${record.version} is written`];
  return { value: { version: record.version, writeId: record.writeId, changes }, lines };
};

const get: commandDefinition.CommandDefinition = {
  summary: 'Print the configuration in force.',
  examples: ['config get > configuration.jsonc', 'config get --version 12'],
  words: [],
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
  words: [commandDefinition.FILE_WORD],
  run: async (input) => {
    const document = await parseDocument(input);
    const base = await current(input);
    const flags = { ...input.flags, 'dry-run': true, reason: 'check' };
    return write({ ...input, flags }, base, document);
  },
};

const diff: commandDefinition.CommandDefinition = {
  summary: 'Show what differs between a document and the configuration in force.',
  examples: ['config diff configuration.jsonc'],
  words: [commandDefinition.FILE_WORD],
  run: async (input) => {
    const document = await parseDocument(input);
    const changes = documentEdits.differences((await current(input)).document, document);
    return { value: changes, lines: differenceLines(changes) };
  },
};

const apply: commandDefinition.CommandDefinition = {
  summary: 'Write a document as the next version.',
  description:
    'Without --base-version the document replaces whatever is in force now. With it, a version ' +
    'that somebody else wrote meanwhile is a conflict (exit code 14) and nothing is written.',
  examples: ['config apply configuration.jsonc --base-version 12 --reason "more room for plans"'],
  words: [commandDefinition.FILE_WORD],
  flags: {
    ...WRITE_FLAGS,
    'base-version': oclif.Flags.integer({ summary: 'Version that you changed.', min: 0 }),
  },
  run: async (input) => {
    const document = await parseDocument(input);
    return write(input, await baseOf(input), document);
  },
};

const history: commandDefinition.CommandDefinition = {
  summary: 'List the versions that are kept.',
  examples: ['config history', 'config history --json'],
  words: [],
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

/** Answer of `/api/config/status`. */
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
  summary: 'Show which process has which version.',
  examples: ['config status', 'config status --watch 2'],
  words: [],
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
        : [`in force everywhere after ${Math.round(inForceAfterMs)} ms`]),
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
  hasMoreWords: boolean,
): commandDefinition.CommandDefinition => ({
  ...help,
  description: `Edits ${list} of the one document; the fields are those of the ${name} there.`,
  words: ['id'],
  hasMoreWords,
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
  summary: `List every ${name} of the configuration in force.`,
  examples: [`${name} list`, `${name} list --json`],
  words: [],
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
