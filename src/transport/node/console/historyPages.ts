/**
 * Pages of earlier configuration versions: their changes, and a rollback that writes a new version.
 */
import * as configurationDifference from '../../../state/common/configurationDifference.js';
import * as changeForms from './changeForms.js';
import type * as consoleContext from './consoleContext.js';
import * as differenceView from './differenceView.js';
import * as errors from '../../../base/common/errors.js';
import * as html from './html.js';
import * as layout from './layout.js';

type Context = consoleContext.PageContext;

/**
 * @param ms - milliseconds since the Unix epoch
 * @returns the time as readable text, in UTC
 */
export const formatTime = (ms: number): string =>
  `${new Date(ms).toISOString().slice(0, 19).replace('T', ' ')} UTC`;

const readVersion = (text: string): number => {
  if (/^[1-9]\d{0,8}$/.test(text)) return Number(text);
  throw errors.fail('notFound', `no version ${text}`, { field: 'version' });
};

const showHistory: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/history',
  handle: async (context) => {
    const versions = await context.options.gateway.history();
    const rows = versions.map((it) => [
      html.html`<a href="/console/history/${it.version}">${it.version}</a>`,
      formatTime(it.writtenAtMs),
      it.author,
      it.reason,
    ]);
    const body = html.html`${changeForms.writtenNotice(context)}
${html.table(['Version', 'Written', 'Author', 'Reason'], rows, 'Newest first')}`;
    return layout.pageReply({ title: 'History', body }, context.visitor);
  },
};

const rollbackForm = (context: Context, version: number): html.Html =>
  html.html`<form class="card" method="post" action="/console/history/${version}/undo">
${changeForms.hiddenFields(context, changeForms.createBase(context))}
<div class="field"><label for="reason">Reason</label>
<p class="hint">The document of version ${version} is written as a new version.</p>
<input type="text" id="reason" name="reason" value="back to version ${version}"></div>
<button type="submit">Go back to this document</button>
<button class="quiet" type="submit" name="preview" value="on">Preview</button></form>`;

const showVersion: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: '/console/history/:version',
  handle: async (context) => {
    const { gateway } = context.options;
    const version = readVersion(context.param('version'));
    const record = await gateway.historyVersion(version);
    const before =
      version === 1
        ? undefined
        : (await gateway.historyVersion(version - 1).catch(() => undefined))?.document;
    const changes = configurationDifference.compareDocuments(before, record.document);
    const isActive = gateway.configuration()?.version === version;
    const body = html.html`<p>Written ${formatTime(record.writtenAtMs)} by ${record.author}:
${record.reason}</p><p class="hint">Write id <code>${record.writeId}</code></p>
${differenceView.renderChanges(changes, `Changes since version ${version - 1}`)}
${html.when(!isActive, () => rollbackForm(context, version))}`;
    return layout.pageReply({ title: `Version ${version}`, body }, context.visitor);
  },
};

const rollback: consoleContext.ConsoleRoute = {
  method: 'POST',
  pattern: '/console/history/:version/undo',
  handle: async (context) => {
    const version = readVersion(context.param('version'));
    const base = changeForms.readBase(context.form);
    if ((context.form.get('reason') ?? '').trim() === '') {
      throw errors.fail('invalidRequest', 'a reason is expected; nothing was written', {
        field: 'reason',
      });
    }
    const { document } = await context.options.gateway.historyVersion(version);
    const before = await changeForms.documentAt(context, base.baseVersion);
    const action = `/console/history/${version}/undo`;
    const change = {
      action,
      resultPath: '/console/history',
      base,
      before,
      document,
      isWholeDocument: true,
    };
    return changeForms.submitChange(context, change);
  },
};

/** Routes of the history pages. */
export const HISTORY_ROUTES: readonly consoleContext.ConsoleRoute[] = [
  showHistory,
  showVersion,
  rollback,
];
