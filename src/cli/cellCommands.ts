/**
 * The commands `cells`, `worker` and `upstream`.
 */
import * as oclif from '@oclif/core';

import * as errors from '../base/common/errors.js';

import * as cellQueries from './cellQueries.js';
import * as commandDefinition from './commandDefinition.js';
import * as textTable from './textTable.js';

type Input = commandDefinition.CommandInput;
type Result = commandDefinition.CommandResult;

const CELL_FLAG = {
  cell: oclif.Flags.string({ summary: 'One cell; all by default.' }),
};

/** Number of allocated accelerators by worker of a cell. */
const allocatedByWorker = (view: cellQueries.CellView): ReadonlyMap<string, number> => {
  const allocated = new Map<string, number>();
  for (const { workerId, accelerators } of view.jobs.flatMap((it) => it.placement)) {
    allocated.set(workerId, (allocated.get(workerId) ?? 0) + accelerators.length);
  }
  return allocated;
};

const workerTable = (views: readonly cellQueries.CellView[]): readonly string[] =>
  textTable.formatTable({
    columns: ['worker', 'cell', 'rack', 'accelerators', 'held', 'health', 'why'],
    rows: views.flatMap((view) => {
      const allocated = allocatedByWorker(view);
      return view.workers.map((it) => [
        it.worker.workerId,
        view.cell,
        it.worker.rack,
        it.worker.accelerators,
        allocated.get(it.worker.workerId) ?? 0,
        it.health,
        it.healthReason || '-',
      ]);
    }),
  });

const readViews = async (input: Input): Promise<readonly cellQueries.CellView[]> => {
  const views: cellQueries.CellView[] = [];
  for (const cell of await cellQueries.cellNames(input)) {
    views.push(await cellQueries.cellView(input, cell));
  }
  return views;
};

const cells: commandDefinition.CommandDefinition = {
  summary: 'List the cells, or show the workers and warnings of one.',
  examples: ['cells', 'cells nordur-a', 'cells --watch 5'],
  argNames: ['cell?'],
  canWatch: true,
  run: async (input): Promise<Result> => {
    const [name] = input.args;
    if (name !== undefined) {
      const view = await cellQueries.cellView(input, name);
      const head = `${view.cell}: led by ${view.leaderId}, epoch ${view.epoch}`;
      const warnings = view.warnings.map((it) => `warning: ${it}`);
      return { value: view, lines: [head, ...workerTable([view]), ...warnings] };
    }
    const list = await cellQueries.cells(input);
    const rows = list.map((it) => [it.cell, it.region, it.leaderId || '-', it.epoch, it.isLed]);
    const columns = ['cell', 'region', 'leader', 'epoch', 'led'];
    return { value: list, lines: textTable.formatTable({ columns, rows }) };
  },
};

const workerList: commandDefinition.CommandDefinition = {
  summary: 'List the workers.',
  examples: ['worker list', 'worker list --cell nordur-a --json'],
  argNames: [],
  canWatch: true,
  flags: CELL_FLAG,
  run: async (input): Promise<Result> => {
    const views = await readViews(input);
    const value = views.flatMap((view) => view.workers.map((it) => ({ cell: view.cell, ...it })));
    return { value, lines: workerTable(views) };
  },
};

const cellOfWorker = async (input: Input, workerId: string): Promise<string> => {
  const given = commandDefinition.textFlag(input, 'cell');
  if (given !== undefined) return given;
  const views = await readViews(input);
  const found = views.find((it) => it.workers.some(({ worker }) => worker.workerId === workerId));
  if (found !== undefined) return found.cell;
  throw errors.fail('notFound', `no cell has a worker ${workerId}`, { field: 'worker' });
};

const quarantine = (
  isQuarantined: boolean,
  help: Pick<commandDefinition.CommandDefinition, 'summary' | 'examples'>,
): commandDefinition.CommandDefinition => ({
  ...help,
  argNames: ['worker'],
  flags: {
    ...CELL_FLAG,
    reason: oclif.Flags.string({ summary: 'Reason.', required: isQuarantined, default: '' }),
  },
  run: async (input): Promise<Result> => {
    const workerId = input.args[0] ?? '';
    const cell = await cellOfWorker(input, workerId);
    const reason = commandDefinition.textFlag(input, 'reason') ?? '';
    const path = `/api/cells/${encodeURIComponent(cell)}/quarantine`;
    const view = (await input.client.send('POST', path, {
      workerId,
      isQuarantined,
      reason,
    })) as cellQueries.CellView;
    const workers = view.workers.filter((it) => it.worker.workerId === workerId);
    return { value: workers[0], lines: workerTable([{ ...view, workers }]) };
  },
});

/** One upstream as known by the entries of its region. */
interface Upstream {
  readonly upstreamId: string;
  readonly agentId: string;
  readonly zone: string;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly isLeaving: boolean;
}

const upstreamTable = (list: readonly Upstream[]): readonly string[] =>
  textTable.formatTable({
    columns: ['upstream', 'agent', 'zone', 'slots', 'running', 'queued', 'leaving'],
    rows: list.map((it) => [
      it.upstreamId,
      it.agentId,
      it.zone,
      it.slots,
      it.running,
      it.queued,
      it.isLeaving,
    ]),
  });

const upstreamList: commandDefinition.CommandDefinition = {
  summary: 'List the registered upstreams.',
  examples: ['upstream list', 'upstream list --watch 2'],
  argNames: [],
  canWatch: true,
  run: async (input): Promise<Result> => {
    const value = (await input.client.get('/api/upstreams')) as {
      readonly upstreams: readonly Upstream[];
    };
    return { value: value.upstreams, lines: upstreamTable(value.upstreams) };
  },
};

const upstreamDrain: commandDefinition.CommandDefinition = {
  summary: 'Stop sending new requests to an upstream, or resume with --undo.',
  examples: ['upstream drain booking-3', 'upstream drain booking-3 --undo'],
  argNames: ['upstream'],
  flags: { undo: oclif.Flags.boolean({ summary: 'Resume sending requests to it.' }) },
  run: async (input): Promise<Result> => {
    const path = `/api/upstreams/${encodeURIComponent(input.args[0] ?? '')}/drain`;
    const body = { isDraining: !commandDefinition.hasFlag(input, 'undo') };
    const value = (await input.client.send('POST', path, body)) as { readonly upstream: Upstream };
    return { value: value.upstream, lines: upstreamTable([value.upstream]) };
  },
};

/** The commands of this module by name. */
export const CELL_COMMANDS: Readonly<Record<string, commandDefinition.CommandDefinition>> = {
  cells,
  'worker:list': workerList,
  'worker:quarantine': quarantine(true, {
    summary: 'Stop placing new work on a worker.',
    examples: ['worker quarantine nordur-w3 --reason "fan broken"'],
  }),
  'worker:release': quarantine(false, {
    summary: 'Release a worker from quarantine.',
    examples: ['worker release nordur-w3'],
  }),
  'upstream:list': upstreamList,
  'upstream:drain': upstreamDrain,
};
