/**
 * Page of service levels: each objective with its burn rates and remaining error budget.
 */
import type * as burnRate from '../../../coordination/common/burnRate.js';
import type * as serviceLevelReport from '../../../coordination/common/serviceLevelReport.js';
import type * as consoleContext from './consoleContext.js';
import * as html from './html.js';
import * as layout from './layout.js';

const MS_PER_HOUR = 3_600_000;
const DIGITS = 2;

const describePair = (pair: burnRate.PairBurn): string => {
  const [short, long] = [pair.short, pair.long].map(
    (it) => `${it.burnRate.toFixed(DIGITS)} over ${(it.windowMs / MS_PER_HOUR).toFixed(1)} h`,
  );
  return `${short ?? ''}, ${long ?? ''} (alert at ${pair.threshold})`;
};

const rowOf = (it: serviceLevelReport.ObjectiveReport): readonly html.HtmlValue[] => {
  const { objectiveId, customerId, kind, target } = it.objective;
  const { good, bad } = it.budget;
  return [
    objectiveId,
    customerId,
    `${kind}, target ${target}`,
    `${good} good, ${bad} bad`,
    `${(it.budgetLeftShare * 100).toFixed(1)} %`,
    html.html`${it.pairs.map((pair) => html.html`${describePair(pair)}<br>`)}`,
    it.isBurning
      ? html.html`<span class="bad">burning</span>`
      : html.html`<span class="good">within budget</span>`,
  ];
};

const show: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/burn',
  handle: async (context) => {
    const report = await context.options.serviceLevels();
    const headings = ['Objective', 'Customer', 'Target', 'Events', 'Budget left', 'Burn', 'State'];
    const caption = `Objectives of version ${report.configVersion}`;
    const body = html.table(headings, report.objectives.map(rowOf), caption);
    return layout.pageReply({ title: 'Service levels', body }, context.visitor);
  },
};

/** Routes of the service-level page. */
export const SERVICE_LEVEL_ROUTES: readonly consoleContext.ConsoleRoute[] = [show];
