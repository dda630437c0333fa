/**
 * Diagram of a cell: each accelerator by rack and worker, with the job it is allocated to and why.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import type * as entrySchedulerMessages from '../../../protocol/common/entrySchedulerMessages.js';
import * as job from '../../../state/common/job.js';
import * as html from './html.js';

/** Allocation of one accelerator to a job. */
export interface AcceleratorAllocation {
  readonly record: job.JobRecord;
  readonly workerId: string;
  readonly accelerator: number;
}

/** Colours that most colour-blind readers can tell apart. */
const COLOURS = [
  '#0072b2',
  '#e69f00',
  '#009e73',
  '#cc79a7',
  '#56b4e9',
  '#d55e00',
  '#8c6d31',
  '#756bb1',
];
const FREE_COLOUR = '#ffffff';
const UNUSABLE_COLOUR = '#d0d4d9';

/** Name of the decision that allocates accelerators to a job. */
const PLACED = 'placed';

const SIZE = 22;
const GAP = 3;
const LABEL_WIDTH = 190;
const RACK_GAP = 20;
const LEGEND_WIDTH = 150;

/**
 * @param record - a job
 * @returns its guaranteed shape or spare rule, its state, and the reason of its placement or last decision
 */
export const describeAllocation = (record: job.JobRecord): string => {
  const { spec, ruleId, state } = record;
  const claimText =
    spec.claim === job.Claim.guaranteed
      ? `guaranteed shape ${spec.shapeId ?? ''}`
      : `spare rule ${ruleId ?? ''}`;
  // Prefers the decision that placed the job over later ones.
  const placed = record.decisions.findLast((it) => it.what === PLACED);
  const reason = (placed ?? record.decisions.at(-1))?.why ?? '';
  return `${claimText}; ${state}${reason === '' ? '' : `; ${reason}`}`;
};

/**
 * @param jobs - jobs of a cell
 * @returns the allocated accelerators of all jobs that have not ended
 */
export const allocationsOf = (jobs: readonly job.JobRecord[]): readonly AcceleratorAllocation[] =>
  jobs
    .filter((it) => !job.isTerminal(it.state))
    .flatMap((record) =>
      record.placement.flatMap(({ workerId, accelerators }) =>
        accelerators.map((accelerator) => ({ record, workerId, accelerator })),
      ),
    );

type WorkerView = entrySchedulerMessages.WorkerStatus;

const byRack = (workers: readonly WorkerView[]): ReadonlyMap<string, readonly WorkerView[]> => {
  const sorted = [...workers].sort((a, b) => a.worker.workerId.localeCompare(b.worker.workerId));
  return groupBy.groupBy(sorted, ({ worker }) => worker.rack);
};

/**
 * @param customerIds - customers of the configuration
 * @param customerId - one of them
 * @returns its colour by position in the list, so that it is the same on every page
 */
const colourOf = (customerIds: readonly string[], customerId: string): string =>
  COLOURS[Math.max(0, customerIds.indexOf(customerId)) % COLOURS.length] ?? FREE_COLOUR;

interface Square {
  readonly x: number;
  readonly y: number;
  readonly colour: string;
  readonly title: string;
  readonly isBorrowed: boolean;
}

const renderSquare = (it: Square): html.Html => {
  const mark = html.when(
    it.isBorrowed,
    () => html.html`<circle cx="${it.x + SIZE / 2}" cy="${it.y + SIZE / 2}" r="4" fill="#fff"/>`,
  );
  return html.html`<g><title>${it.title}</title><rect x="${it.x}" y="${it.y}" width="${SIZE}"
height="${SIZE}" rx="3" fill="${it.colour}" stroke="#5b6876"/>${mark}</g>`;
};

const squaresOf = (
  view: WorkerView,
  y: number,
  allocations: readonly AcceleratorAllocation[],
  customerIds: readonly string[],
): readonly html.Html[] =>
  Array.from({ length: view.worker.accelerators }, (_unused, accelerator) => {
    const { workerId } = view.worker;
    const allocation = allocations.find(
      (it) => it.workerId === workerId && it.accelerator === accelerator,
    );
    const x = LABEL_WIDTH + accelerator * (SIZE + GAP);
    const place = `${workerId} accelerator ${accelerator}`;
    if (allocation === undefined) {
      const isReady = view.health === 'ready';
      const title = `${place}: ${isReady ? 'free' : view.health}`;
      const colour = isReady ? FREE_COLOUR : UNUSABLE_COLOUR;
      return renderSquare({ x, y, colour, title, isBorrowed: false });
    }
    const { record } = allocation;
    const { customerId, jobId, claim } = record.spec;
    return renderSquare({
      x,
      y,
      colour: colourOf(customerIds, customerId),
      title: `${place}: ${customerId}, job ${jobId}, ${describeAllocation(record)}`,
      isBorrowed: claim === job.Claim.spare,
    });
  });

const legend = (customerIds: readonly string[]): html.Html => {
  const items = [
    ...customerIds.map((it) => [colourOf(customerIds, it), it] as const),
    [FREE_COLOUR, 'free'] as const,
    [UNUSABLE_COLOUR, 'not usable'] as const,
  ];
  const perRow = 4;
  const rows = Math.ceil(items.length / perRow);
  return html.html`<svg role="img" aria-label="Colours of the customers; a dot marks a borrower"
width="${perRow * LEGEND_WIDTH}" height="${rows * (SIZE + GAP)}">${items.map(
    ([colour, label], index) => {
      const x = (index % perRow) * LEGEND_WIDTH;
      const y = Math.floor(index / perRow) * (SIZE + GAP);
      return html.html`<rect x="${x + 1}" y="${y + 1}" width="14" height="14" rx="3" fill="${colour}"
stroke="#5b6876"/><text x="${x + 21}" y="${y + 13}">${label}</text>`;
    },
  )}</svg>`;
};

/**
 * @param cell - state of the cell from its leader
 * @param customerIds - customers of the configuration, which determine the colours
 * @returns the diagram with its legend
 */
export const renderDiagram = (
  cell: entrySchedulerMessages.CellReply,
  customerIds: readonly string[],
): html.Html => {
  const allocations = allocationsOf(cell.jobs);
  const parts: html.Html[] = [];
  let y = 0;
  for (const [rack, workers] of byRack(cell.workers)) {
    parts.push(html.html`<text x="0" y="${y + 14}" font-weight="600">${rack}</text>`);
    y += RACK_GAP;
    for (const view of workers) {
      parts.push(html.html`<text x="12" y="${y + 15}">${view.worker.workerId}</text>`);
      parts.push(...squaresOf(view, y, allocations, customerIds));
      y += SIZE + GAP;
    }
    y += GAP;
  }
  const most = Math.max(0, ...cell.workers.map((it) => it.worker.accelerators));
  const width = LABEL_WIDTH + most * (SIZE + GAP);
  return html.html`<p class="hint">A dot marks a borrower; the table below shows the same.</p>
${legend(customerIds)}<br>
<svg role="img" aria-label="Accelerators of ${cell.cell} by rack and worker" width="${width}"
height="${y}">${parts}</svg>`;
};
