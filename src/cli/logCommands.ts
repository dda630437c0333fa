/**
 * `trace` and `losses`: analyze collected logs for an engineer on call, without a connection to an entry.
 */
import * as oclif from '@oclif/core';

import * as errors from '../base/common/errors.js';

import * as commandDefinition from './commandDefinition.js';
import * as inputStream from './inputStream.js';
import * as jobHistory from './logs/jobHistory.js';
import * as lossReport from './logs/lossReport.js';
import * as logCollector from './logs/logCollector.js';
import * as logLines from './logs/logLines.js';
import * as timeSplit from './logs/timeSplit.js';
import * as textTable from './textTable.js';

const collect = async (
  input: commandDefinition.CommandInput,
  file: string,
  query: logCollector.LogQuery,
): Promise<logCollector.CollectedLogs> => {
  const collector = logCollector.createLogCollector(query);
  await input.eachLine(file, logLines.MAX_LINE_CHARACTERS, collector.add);
  const collected = collector.collected();
  if (collected !== undefined) return collected;
  const message = `${inputStream.displayName(file)}: no line of a process's log`;
  throw errors.fail('invalidRequest', message, { field: 'file' });
};

const skippedText = ({ foreign, cut, tooLong, beyond }: logCollector.Skipped): string => {
  const line = `passed over: ${foreign} lines of other programs, ${cut} cut, ${tooLong} too long`;
  if (beyond === 0) return line;
  return `${line}, ${beyond} beyond what is kept of one job`;
};

const seconds = (ms: number): string => (ms / 1000).toFixed(3);

const eventText = ({ event, fields }: logLines.LogEvent): string => {
  const hidden = new Set(['at', 'event', 'role', 'node', 'level', 'job']);
  const pairs = [...fields].filter(([name]) => !hidden.has(name));
  return [event, ...pairs.map(([name, value]) => `${name}=${value}`)].join(' ');
};

/** One row of a trace. */
interface TraceRow {
  readonly atMs: number;
  readonly node: string;
  readonly text: string;
}

/** Passes events on and records a trace row for each. */
const recordTrace = function* recordTrace(
  events: Iterable<logLines.LogEvent>,
  traceRows: TraceRow[],
): Generator<logLines.LogEvent> {
  for (const event of events) {
    traceRows.push({ atMs: event.atMs, node: event.node, text: eventText(event) });
    yield event;
  }
};

const TRACE: commandDefinition.CommandDefinition = {
  summary: "Show one job's history from collected logs, with the cause of each wait.",
  description:
    'FILE holds the log lines of all processes in any order; without FILE, or with -, they are ' +
    'read from standard input. Times are relative to the ' +
    "job's acceptance, by the clocks of the machines that wrote the lines.",
  examples: ['trace 5c0e7a21d94b36f8 all.log', 'trace 5c0e7a21d94b36f8 --json'],
  argNames: ['job', commandDefinition.FILE_ARG],
  isOffline: true,
  run: async (input) => {
    const [jobId = ''] = input.args;
    const needs: logCollector.LogQuery['needs'] = (_, eventJobId) => eventJobId === jobId;
    const collected = await collect(input, commandDefinition.fileArg(input, 1), { needs });
    const { logContext } = collected;
    const traceRows: TraceRow[] = [];
    const [job] = [...collected.jobs()].map((it) =>
      jobHistory.buildHistory(jobId, recordTrace(it.events, traceRows), logContext),
    );
    if (job === undefined) throw errors.fail('notFound', `no line names the job ${jobId}`);
    const segments = timeSplit.splitTime(job, logContext);
    const zeroMs = job.acceptedAtMs ?? job.firstAtMs;
    const rows = traceRows.map((it) => [seconds(it.atMs - zeroMs), it.node, it.text]);
    const spans = segments.map((it) => [
      seconds(it.fromMs - zeroMs),
      Math.round(it.untilMs - it.fromMs),
      it.cause,
      it.detail,
    ]);
    const skipped = collected.skipped();
    return {
      value: { job: jobId, end: job.end, segments, skipped },
      lines: [
        ...textTable.formatTable({ columns: ['after s', 'where', 'what'], rows }),
        '',
        ...textTable.formatTable({ columns: ['from s', 'ms', 'cause', 'detail'], rows: spans }),
        skippedText(skipped),
      ],
    };
  },
};

/** About the jobs of two months; limits the memory for lists that are too long to read. */
const MAX_LISTED = 50_000;

const CAUSES = Object.values(timeSplit.Cause);

const cellsOf = (byCause: lossReport.ByCause): textTable.Cell[] =>
  CAUSES.map((cause) => byCause[cause] ?? 0);

const lossTable = (losses: readonly lossReport.Loss[]): textTable.Table => ({
  columns: ['job', 'queue', 'customer', 'end', 'took ms', 'objective ms', ...CAUSES],
  rows: losses.map((it) => [
    it.jobId,
    it.queue,
    it.customer,
    it.end,
    it.tookMs,
    it.objectiveMs,
    ...cellsOf(it.byCause),
  ]),
});

const sumTable = (sums: readonly lossReport.Sum[]): textTable.Table => ({
  columns: ['of', 'name', 'jobs', 'in time', 'late', 'lost', ...CAUSES],
  rows: sums.map((it) => [
    it.of,
    it.name,
    it.jobs,
    it.inTime,
    it.late,
    it.lost,
    ...cellsOf(it.byCause),
  ]),
});

const thrownAwayTable = (rows: readonly lossReport.ThrownAway[]): textTable.Table => ({
  columns: ['queue', 'work thrown away by', 'runs', 'core-seconds'],
  rows: rows.map((it) => [it.queue, it.cause, it.runs, Math.round(it.coreSeconds)]),
});

const LOSSES: commandDefinition.CommandDefinition = {
  summary: 'List the jobs that were late or lost, with their time split by cause.',
  description:
    'FILE holds the log lines of all processes in any order; without FILE, or with -, they are ' +
    'read from standard input. Times by cause are in ' +
    'milliseconds along the chain of runs that determined the end of the job. Sums include late and ' +
    'lost jobs only. Cancelled jobs are excluded.',
  examples: [
    'losses all.log',
    'losses --all',
    'losses all.log --window 2',
    'losses all.log --json',
  ],
  argNames: [commandDefinition.FILE_ARG],
  isOffline: true,
  flags: {
    all: oclif.Flags.boolean({ summary: 'Also list the jobs that were in time.' }),
    window: oclif.Flags.integer({
      summary: 'Also sum by time of arrival, in windows of this many seconds.',
      min: 1,
    }),
  },
  run: async (input) => {
    const collected = await collect(input, commandDefinition.fileArg(input, 0), {
      needs: jobHistory.isHistoryEvent,
      fields: jobHistory.HISTORY_FIELDS,
    });
    const { logContext } = collected;
    const isListed = (it: lossReport.Loss): boolean => input.flags.all === true || it.isLoss;
    const { window } = input.flags;
    const windowMs = typeof window === 'number' ? window * 1000 : undefined;
    const builder = lossReport.createReportBuilder(logContext, {
      isListed,
      maxListed: MAX_LISTED,
      windowMs,
    });
    for (const { jobId, events } of collected.jobs()) {
      builder.add(jobHistory.buildHistory(jobId, events, logContext));
    }
    const report = builder.report();
    const skipped = collected.skipped();
    const { leaderless } = logContext;
    const leaderlessMs = leaderless.reduce((sum, it) => sum + it.untilMs - it.fromMs, 0);
    return {
      value: { ...report, leaderlessMs, skipped },
      lines: [
        ...textTable.formatTable(lossTable(report.jobs)),
        ...(report.unlisted === 0
          ? []
          : [`and ${report.unlisted} more jobs, included in the sums only`]),
        '',
        ...textTable.formatTable(sumTable(report.sums)),
        '',
        ...textTable.formatTable(thrownAwayTable(report.thrownAway)),
        `no leader for ${seconds(leaderlessMs)} s`,
        skippedText(skipped),
      ],
    };
  },
};

/** The commands on collected logs. */
export const LOG_COMMANDS = { trace: TRACE, losses: LOSSES } as const;
