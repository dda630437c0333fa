/**
 * The commands `job` and `explain`.
 */
import * as oclif from '@oclif/core';
import * as jsonc from 'jsonc-parser';

import * as job from '../state/common/job.js';

import * as cellQueries from './cellQueries.js';
import * as commandDefinition from './commandDefinition.js';
import * as inputDocument from './inputDocument.js';
import * as textTable from './textTable.js';

type Result = commandDefinition.CommandResult;

const CELL_FLAG = {
  cell: oclif.Flags.string({ summary: 'One cell; all by default.' }),
};

const timeOf = (atMs: number | undefined): string =>
  atMs === undefined ? '-' : new Date(atMs).toISOString();

const allocationText = (record: job.JobRecord): string =>
  record.placement.map((it) => `${it.workerId}[${it.accelerators.join(',')}]`).join(' ') || '-';

const jobTable = (jobs: readonly job.JobRecord[]): readonly string[] =>
  textTable.formatTable({
    columns: ['job', 'customer', 'cell', 'claim', 'state', 'attempt', 'accelerators', 'submitted'],
    rows: jobs.map((it) => [
      it.spec.jobId,
      it.spec.customerId,
      it.spec.cell,
      it.spec.claim,
      it.state,
      it.attempt,
      job.acceleratorsOf(it),
      timeOf(it.submittedAtMs),
    ]),
  });

const factsOf = ({ job: record, source }: cellQueries.FoundJob): readonly string[] => {
  const { spec } = record;
  const resources = `${spec.members} x ${spec.acceleratorsPerMember}, ${spec.adjacency}`;
  const facts: readonly (readonly [string, string])[] = [
    ['job', spec.jobId],
    ['customer', spec.customerId],
    ['cell', spec.cell],
    ['claim', spec.claim + (spec.shapeId === undefined ? '' : ` of shape ${spec.shapeId}`)],
    ['spare rule', record.ruleId ?? '-'],
    ['accelerators', resources],
    ['state', record.state],
    ['attempt', String(record.attempt)],
    ['submitted', timeOf(record.submittedAtMs)],
    ['started', timeOf(record.startedAtMs)],
    ['ended', timeOf(record.endedAtMs)],
    ['held now', allocationText(record)],
    ['work kept', `${record.checkpointMs} ms`],
    ['told by', source],
  ];
  const width = Math.max(...facts.map(([name]) => name.length));
  return facts.map(([name, value]) => `${name.padEnd(width)}  ${value}`);
};

const explainLines = (found: cellQueries.FoundJob): readonly string[] => {
  const { decisions, failures } = found.job;
  const decided = textTable.formatTable({
    columns: ['at', 'decision', 'version', 'why'],
    rows: decisions.map((it) => [timeOf(it.atMs), it.what, it.configVersion, it.why]),
  });
  const failed = textTable.formatTable({
    columns: ['at', 'worker', 'failure'],
    rows: failures.map((it) => [timeOf(it.atMs), it.workerId, it.reason]),
  });
  const truncatedNote = `only the first and the last ${job.MAX_DECISIONS - 1} decisions are retained`;
  return [
    ...factsOf(found),
    '',
    ...decided,
    ...(decisions.length < job.MAX_DECISIONS ? [] : [truncatedNote]),
    ...(failures.length === 0 ? [] : ['', ...failed]),
  ];
};

const submit: commandDefinition.CommandDefinition = {
  summary: 'Submit a job; submitting the same job id again has no effect.',
  examples: ['job submit plan.jsonc', 'job submit < plan.json'],
  argNames: [commandDefinition.FILE_ARG],
  run: async (input) => {
    const text = await input.readText(commandDefinition.fileArg(input, 0));
    const parsed = jsonc.parse(text) as unknown;
    const spec = inputDocument.decodeOrFail(job.JobSpec, parsed, 'job');
    const value = (await input.client.send('POST', '/api/jobs', spec)) as {
      readonly job: job.JobRecord;
    };
    return { value, lines: jobTable([value.job]) };
  },
};

const list: commandDefinition.CommandDefinition = {
  summary: 'List jobs.',
  examples: ['job list --customer festivals', 'job list --state running --watch 5'],
  argNames: [],
  canWatch: true,
  flags: {
    ...CELL_FLAG,
    customer: oclif.Flags.string({ summary: 'One customer.' }),
    state: oclif.Flags.string({ summary: 'One state.', options: Object.values(job.JobState) }),
  },
  run: async (input) => {
    const answer = (await input.client.get('/api/jobs')) as {
      readonly jobs: readonly job.JobRecord[];
      readonly unansweredCells?: readonly string[];
    };
    const matchesFlag = (name: string, value: string): boolean => {
      const given = commandDefinition.textFlag(input, name);
      return given === undefined || given === value;
    };
    const jobs = answer.jobs.filter(
      ({ spec, state }) =>
        matchesFlag('cell', spec.cell) &&
        matchesFlag('customer', spec.customerId) &&
        matchesFlag('state', state),
    );
    const { unansweredCells = [] } = answer;
    const notes = unansweredCells.map((it) => `cell ${it} does not respond; its jobs are missing`);
    return { value: { jobs, unansweredCells }, lines: [...jobTable(jobs), ...notes] };
  },
};

const show: commandDefinition.CommandDefinition = {
  summary: 'Show one job.',
  examples: ['job show plan-17', 'job show plan-17 --cell nordur-a --watch 2'],
  argNames: ['job'],
  canWatch: true,
  flags: CELL_FLAG,
  run: async (input): Promise<Result> => {
    const found = await cellQueries.findJob(input, input.args[0] ?? '');
    return { value: found, lines: factsOf(found) };
  },
};

const cancel: commandDefinition.CommandDefinition = {
  summary: 'Cancel jobs of one cell.',
  description: 'If the response is lost, the exit code is 41; cancelling again is safe.',
  examples: ['job cancel plan-17', 'job cancel plan-17 plan-18 --cell nordur-a'],
  argNames: ['job'],
  acceptsMoreArgs: true,
  flags: CELL_FLAG,
  run: async (input): Promise<Result> => {
    const given = commandDefinition.textFlag(input, 'cell');
    const cell = given ?? (await cellQueries.findJob(input, input.args[0] ?? '')).job.spec.cell;
    const body = { cell, jobIds: input.args };
    const value = (await input.client.send('POST', '/api/jobs/cancel', body)) as {
      readonly jobs: readonly job.JobRecord[];
    };
    return { value, lines: jobTable(value.jobs) };
  },
};

const explain: commandDefinition.CommandDefinition = {
  summary: 'Show each recorded decision on a job, with the rule and configuration version.',
  examples: ['explain plan-17', 'explain plan-17 --json'],
  argNames: ['job'],
  flags: CELL_FLAG,
  run: async (input): Promise<Result> => {
    const found = await cellQueries.findJob(input, input.args[0] ?? '');
    return { value: found, lines: explainLines(found) };
  },
};

/** The commands of this module by name. */
export const JOB_COMMANDS: Readonly<Record<string, commandDefinition.CommandDefinition>> = {
  'job:submit': submit,
  'job:list': list,
  'job:show': show,
  'job:cancel': cancel,
  explain,
};
