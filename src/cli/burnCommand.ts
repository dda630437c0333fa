/**
 * `burn`: shows the burn rates of the customers' error budgets.
 */
import * as oclif from '@oclif/core';

import type * as burnRate from '../coordination/common/burnRate.js';
import type * as serviceLevelReport from '../coordination/common/serviceLevelReport.js';

import * as commandDefinition from './commandDefinition.js';
import * as textTable from './textTable.js';

const MINUTE_MS = 60_000;

const pairText = ({ short, long }: burnRate.PairBurn): string =>
  `${short.burnRate.toFixed(2)} / ${long.burnRate.toFixed(2)}`;

const windowText = ({ short, long, threshold }: burnRate.PairBurn): string =>
  `${short.windowMs / MINUTE_MS}/${long.windowMs / MINUTE_MS} min (${threshold})`;

const toLines = (report: serviceLevelReport.ServiceLevelReport): readonly string[] => {
  const windows = report.objectives[0]?.pairs.map(windowText) ?? [];
  return textTable.formatTable({
    columns: ['objective', 'customer', 'kind', 'events', ...windows, 'budget left', 'state'],
    rows: report.objectives.map((it) => [
      it.objective.objectiveId,
      it.objective.customerId,
      it.objective.kind,
      it.budget.good + it.budget.bad,
      ...it.pairs.map(pairText),
      `${(it.budgetLeftShare * 100).toFixed(1)}%`,
      it.isBurning ? 'BURNING' : 'ok',
    ]),
  });
};

/** The command. */
export const BURN: commandDefinition.CommandDefinition = {
  summary: "Show how fast the customers' error budgets are used up.",
  description:
    'Each objective has three pairs of windows; it is burning when both burn rates of a pair reach ' +
    'the threshold in brackets. Counts are retained for three days; a budget over a longer window ' +
    'covers only these.',
  examples: [
    'burn',
    'burn --customer festivals --watch 30',
    'burn --html burn.html',
    'burn --json',
  ],
  argNames: [],
  canWatch: true,
  flags: {
    customer: oclif.Flags.string({ summary: 'One customer.' }),
    html: oclif.Flags.string({ summary: 'Write a page with plots to this file.' }),
  },
  run: async (input) => {
    const fullReport = (await input.client.get(
      '/api/burn',
    )) as serviceLevelReport.ServiceLevelReport;
    const customerId = commandDefinition.textFlag(input, 'customer');
    const objectives = fullReport.objectives.filter(
      (it) => customerId === undefined || it.objective.customerId === customerId,
    );
    const report = { ...fullReport, objectives };
    const file = commandDefinition.textFlag(input, 'html');
    if (file === undefined) return { value: report, lines: toLines(report) };
    // Imported on demand, since the plotting library is large and no other command needs it.
    const burnPage = await import('./burnPage.js');
    input.writeText(file, burnPage.renderPage(report));
    return { value: { file }, lines: [`wrote ${file}`] };
  },
};
