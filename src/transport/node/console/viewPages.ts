/**
 * Pages of the system's state: overview, active configuration, cells, jobs and upstreams.
 */
import * as errors from '../../../base/common/errors.js';
import * as job from '../../../state/common/job.js';
import type * as entrySchedulerMessages from '../../../protocol/common/entrySchedulerMessages.js';
import type * as httpServer from '../httpServer.js';
import type * as operatorGateway from '../operatorGateway.js';
import * as cellDiagram from './cellDiagram.js';
import type * as consoleContext from './consoleContext.js';
import * as historyPages from './historyPages.js';
import * as html from './html.js';
import * as layout from './layout.js';

type Context = consoleContext.PageContext;

const MS_PER_SECOND = 1000;

const seconds = (ms: number): string => `${(ms / MS_PER_SECOND).toFixed(1)} s`;

const reply = (context: Context, title: string, body: html.Html): httpServer.ServerReply =>
  layout.pageReply({ title, body }, context.visitor);

const alerts = (warnings: readonly string[]): html.Html =>
  html.html`${warnings.map((it) => html.html`<p class="alert" role="alert">${it}</p>`)}`;

const rolloutNotice = (status: operatorGateway.ConfigurationStatus): html.Html => {
  const { version, stragglers, inForceAfterMs } = status;
  if (stragglers.length > 0) {
    return html.html`<p class="alert">Version ${version} is not yet in force at
${stragglers.length} of ${status.processes.length} processes: ${stragglers.join(', ')}</p>`;
  }
  const after =
    inForceAfterMs === undefined
      ? html.EMPTY
      : html.html`, seen ${seconds(inForceAfterMs)} after it was written`;
  return html.html`<p class="notice">Version ${version} is in force at all
${status.processes.length} processes${after}.</p>`;
};

const cellTable = (cells: readonly operatorGateway.CellSummary[]): html.Html =>
  html.table(
    ['Cell', 'Region', 'Leader', 'Epoch'],
    cells.map((it) => [
      html.html`<a href="/console/view/${it.cell}">${it.cell}</a>`,
      it.region,
      it.isLed ? it.leaderId : html.html`<span class="bad">no leader</span>`,
      it.epoch,
    ]),
    'Cells with their accelerators and holders',
  );

const overview: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console',
  handle: async (context) => {
    const { gateway } = context.options;
    const [status, cells] = await Promise.all([gateway.status(), gateway.cells()]);
    const body = html.html`${alerts(status.warnings)}${rolloutNotice(status)}${cellTable(cells)}`;
    return reply(context, 'Overview', body);
  },
};

const statusPage: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/status',
  handle: async (context) => {
    const status = await context.options.gateway.status();
    const rows = status.processes.map((it) => [
      it.processId,
      it.role,
      it.zone,
      it.version === undefined
        ? html.html`<span class="bad">no answer</span>`
        : html.html`<span class="${it.version < status.version ? 'bad' : 'good'}">${it.version}</span>`,
    ]);
    const body = html.html`${alerts(status.warnings)}${rolloutNotice(status)}
<p>Written ${historyPages.formatTime(status.writtenAtMs)}</p>
${html.table(['Process', 'Role', 'Zone', 'Version'], rows, 'Version of each process')}`;
    return reply(context, 'Configuration in force', body);
  },
};

const jobRow = (record: job.JobRecord): readonly html.HtmlValue[] => [
  record.spec.jobId,
  record.spec.customerId,
  record.spec.cell,
  record.state,
  job.acceleratorsOf(record),
  cellDiagram.describeAllocation(record),
];

const jobTable = (jobs: readonly job.JobRecord[], caption: string): html.Html =>
  html.table(
    ['Job', 'Customer', 'Cell', 'State', 'Accelerators', 'Right and reason'],
    jobs.map(jobRow),
    caption,
  );

type WorkerView = entrySchedulerMessages.WorkerStatus;

const quarantineForm = (context: Context, cell: string, view: WorkerView): html.Html => {
  const { workerId } = view.worker;
  const isQuarantined = view.health === 'quarantined';
  return html.html`<form method="post" action="/console/view/${cell}/quarantine">
${layout.csrfField(context.visitor)}<input type="hidden" name="workerId" value="${workerId}">
<input type="hidden" name="isQuarantined" value="${isQuarantined ? '' : 'on'}">
<input type="text" name="reason" aria-label="Reason for ${workerId}" placeholder="reason">
<button class="quiet" type="submit">${isQuarantined ? 'Release' : 'Quarantine'}</button></form>`;
};

const workerTable = (context: Context, cell: entrySchedulerMessages.CellReply): html.Html =>
  html.table(
    ['Worker', 'Rack', 'Health', 'Quarantine'],
    cell.workers.map((it) => [
      it.worker.workerId,
      it.worker.rack,
      html.html`<span class="${it.health === 'ready' ? 'good' : 'bad'}">${it.health}</span>
${it.healthReason}`,
      quarantineForm(context, cell.cell, it),
    ]),
    'Workers',
  );

const cellPage: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/view/:cell',
  handle: async (context) => {
    const { gateway } = context.options;
    const cell = await gateway.cell(context.param('cell'));
    const customers = gateway.configuration()?.document.customers ?? [];
    const customerIds = customers.map((it) => it.customerId);
    const held = cell.jobs.filter((it) => !job.isTerminal(it.state) && it.placement.length > 0);
    const waiting = cell.jobs.filter((it) => it.state === job.JobState.queued);
    const body = html.html`${alerts(cell.warnings)}
<p>Led by ${cell.leaderId}, epoch ${cell.epoch}</p>
${cellDiagram.renderDiagram(cell, customerIds)}
<h2>Jobs</h2>${jobTable(held, 'Jobs that hold accelerators')}${jobTable(waiting, 'Waiting')}
<h2>Workers</h2>${workerTable(context, cell)}`;
    return reply(context, `Cell ${cell.cell}`, body);
  },
};

const quarantine: consoleContext.ConsoleRoute = {
  method: 'POST',
  pattern: '/console/view/:cell/quarantine',
  handle: async (context) => {
    const { form } = context;
    const cell = context.param('cell');
    const reason = (form.get('reason') ?? '').trim();
    if (reason === '') {
      throw errors.fail('invalidRequest', 'a reason is expected; nothing ran', { field: 'reason' });
    }
    const isQuarantined = form.get('isQuarantined') === 'on';
    await context.options.gateway.quarantine(
      cell,
      form.get('workerId') ?? '',
      isQuarantined,
      reason,
    );
    return layout.redirectReply(`/console/view/${encodeURIComponent(cell)}`);
  },
};

const jobsPage: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/jobs',
  handle: async (context) => {
    const { jobs, unansweredCells } = await context.options.gateway.jobs();
    const missing = unansweredCells.map(
      (it) => `Cell ${it} does not answer; its jobs are missing.`,
    );
    const sorted = [...jobs].sort((a, b) => b.submittedAtMs - a.submittedAtMs);
    const body = html.html`${alerts(missing)}${jobTable(sorted, 'Newest first')}`;
    return reply(context, 'Jobs', body);
  },
};

const drainForm = (
  context: Context,
  upstream: operatorGateway.UpstreamSummary,
): html.Html => html.html`<form method="post"
action="/console/upstreams/${upstream.upstreamId}/drain">${layout.csrfField(context.visitor)}
<input type="hidden" name="isDraining" value="${upstream.isLeaving ? '' : 'on'}">
<button class="quiet" type="submit">${upstream.isLeaving ? 'Back into service' : 'Drain'}</button>
</form>`;

const upstreamsPage: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/upstreams',
  handle: async (context) => {
    const upstreams = await context.options.gateway.upstreams();
    const rows = upstreams.map((it) => [
      it.upstreamId,
      it.region,
      it.zone,
      `${it.running} of ${it.slots}`,
      it.queued,
      `${it.serviceMs.toFixed(0)} ms`,
      it.isLeaving ? 'leaving' : 'in service',
      drainForm(context, it),
    ]);
    const headings = ['Upstream', 'Region', 'Zone', 'Slots', 'Queued', 'Service', 'State', 'Drain'];
    return reply(context, 'Upstreams', html.table(headings, rows, 'As they announced themselves'));
  },
};

const drain: consoleContext.ConsoleRoute = {
  method: 'POST',
  pattern: '/console/upstreams/:upstream/drain',
  handle: async (context) => {
    const isDraining = context.form.get('isDraining') === 'on';
    await context.options.gateway.drainUpstream(context.param('upstream'), isDraining);
    return layout.redirectReply('/console/upstreams');
  },
};

/** Routes of the state pages. */
export const VIEW_ROUTES: readonly consoleContext.ConsoleRoute[] = [
  overview,
  statusPage,
  cellPage,
  quarantine,
  jobsPage,
  upstreamsPage,
  drain,
];
