/**
 * `ledger`: reports accelerator usage with its reason, and checks that the ledger balances.
 */
import * as oclif from '@oclif/core';

import * as errorKinds from '../base/common/errorKinds.js';
import * as errors from '../base/common/errors.js';
import * as ledgerCheck from '../coordination/common/ledgerCheck.js';
import * as ledgerReport from '../coordination/common/ledgerReport.js';
import * as ledgerEntry from '../state/common/ledgerEntry.js';

import * as cellQueries from './cellQueries.js';
import * as commandDefinition from './commandDefinition.js';
import * as textTable from './textTable.js';

type Input = commandDefinition.CommandInput;
type Result = commandDefinition.CommandResult;

const HOURS_DIGITS = 4;
const DEFAULT_SPAN_MS = 86_400_000;

const parseTime = (input: Input, name: string, otherwise: number): number => {
  const text = commandDefinition.textFlag(input, name);
  if (text === undefined) return otherwise;
  const atMs = Date.parse(text);
  if (!Number.isNaN(atMs)) return atMs;
  throw errors.fail('invalidRequest', `--${name}: 2026-12-03 or 2026-12-03T10:00Z is expected`, {
    field: name,
  });
};

const readCellLedger = async (input: Input, cell: string): Promise<ledgerReport.CellLedger> => {
  const path = encodeURIComponent(cell);
  const { hours } = (await input.client.get(`/api/ledger/${path}`)) as {
    readonly hours: readonly ledgerEntry.LedgerHour[];
  };
  const { days } = (await input.client.get(`/api/ledger-days/${path}`)) as {
    readonly days: readonly ledgerEntry.LedgerDay[];
  };
  return ledgerReport.withoutDuplicateHours({ cell, hours, days });
};

const checkLedgers = (ledgers: readonly ledgerReport.CellLedger[]): Result => {
  const faults = ledgers.flatMap((it) => ledgerCheck.checkHours(it.hours, it.days));
  const hours = ledgers.flatMap((it) => it.hours).length;
  const days = ledgers.flatMap((it) => it.days).length;
  const rows = faults.map((it) => [
    it.kind,
    it.cell,
    new Date(it.hour * ledgerEntry.HOUR_MS).toISOString(),
    it.offMs,
  ]);
  const value = { isBalanced: faults.length === 0, hours, days, faults };
  const scope = `${ledgers.length} cells, ${days} days, ${hours} hours`;
  if (faults.length === 0) return { value, lines: [`the books balance: ${scope}`] };
  const columns = ['fault', 'cell', 'hour', 'off by ms'];
  const lines = [...textTable.formatTable({ columns, rows }), `out of balance: ${scope}`];
  return { value, lines, exitCode: errorKinds.ERROR_TABLE.internal.exitCode };
};

const toCsv = (rows: readonly ledgerReport.LedgerRow[]): readonly string[] =>
  textTable.formatCsv({
    columns: [
      'from',
      'period_ms',
      'cell',
      'customer',
      'job',
      'attempt',
      'reason',
      'rule',
      'config_version',
      'accelerator_ms',
    ],
    rows: rows.map((it) => [
      new Date(it.fromMs).toISOString(),
      it.periodMs,
      it.cell,
      it.customerId,
      it.jobId,
      it.attempt,
      it.reason,
      it.ruleId,
      it.configVersion,
      it.acceleratorMs,
    ]),
  });

const toTable = (
  rows: readonly ledgerReport.LedgerRow[],
  grouping: ledgerReport.LedgerGrouping,
): readonly string[] => {
  const hoursOf = (acceleratorMs: number): string =>
    (acceleratorMs / ledgerEntry.HOUR_MS).toFixed(HOURS_DIGITS);
  const sums = ledgerReport.sumBy(rows, grouping);
  const total = sums.reduce((sum, it) => sum + it.acceleratorMs, 0);
  const table = textTable.formatTable({
    columns: ['cell', 'customer', 'job', 'reason', 'rule', 'accelerator-hours'],
    rows: sums.map((it) => [
      it.cell,
      it.customerId || '-',
      it.jobId || '-',
      it.reason,
      it.ruleId || '-',
      hoursOf(it.acceleratorMs),
    ]),
  });
  return [...table, `total ${hoursOf(total)} accelerator-hours`];
};

/** The command. */
export const LEDGER: commandDefinition.CommandDefinition = {
  summary: 'Show which accelerators were used by whom, for how long and why.',
  description:
    'The last three days are listed by hour; older hours are summed by day and retained for 400 ' +
    'days. --from and --to select hours and days by their start; without them the last 24 ' +
    'hours are shown. --check checks all retained hours and days and exits with code 70 if ' +
    'the ledger does not balance.',
  examples: [
    'ledger --customer festivals --from 2026-12-01 --to 2026-12-02',
    'ledger --by job --cell nordur-a',
    'ledger --csv --from 2026-11-01 --to 2026-12-01 > november.csv',
    'ledger --check',
  ],
  argNames: [],
  canWatch: true,
  flags: {
    cell: oclif.Flags.string({ summary: 'One cell; all by default.' }),
    customer: oclif.Flags.string({ summary: 'One customer.' }),
    from: oclif.Flags.string({ summary: 'First hour, as a date or time.' }),
    to: oclif.Flags.string({ summary: 'End, as a date or time.' }),
    by: oclif.Flags.string({
      summary: 'Grouping of the table.',
      options: Object.values(ledgerReport.LedgerGrouping),
      default: ledgerReport.LedgerGrouping.customer,
    }),
    csv: oclif.Flags.boolean({ summary: 'Print every row as CSV.', exclusive: ['json'] }),
    check: oclif.Flags.boolean({ summary: 'Check that the ledger balances.' }),
  },
  run: async (input) => {
    const cells = await cellQueries.cellNames(input);
    const ledgers: ledgerReport.CellLedger[] = [];
    for (const cell of cells) ledgers.push(await readCellLedger(input, cell));
    if (commandDefinition.hasFlag(input, 'check')) return checkLedgers(ledgers);
    const toMs = parseTime(input, 'to', input.nowMs);
    const fromMs = parseTime(input, 'from', toMs - DEFAULT_SPAN_MS);
    const customerId = commandDefinition.textFlag(input, 'customer');
    const rows = ledgers.flatMap((it) => ledgerReport.rowsOf(it, { customerId, fromMs, toMs }));
    if (commandDefinition.hasFlag(input, 'csv')) return { value: rows, lines: toCsv(rows) };
    const by = (commandDefinition.textFlag(input, 'by') ??
      ledgerReport.LedgerGrouping.customer) as ledgerReport.LedgerGrouping;
    return { value: rows, lines: toTable(rows, by) };
  },
};
