/**
 * Configuration changes by console forms: preview, consent, conflicts, and resending entered values.
 */
import * as errors from '../../../base/common/errors.js';
import type * as configuration from '../../../state/common/configuration.js';
import * as configurationDifference from '../../../state/common/configurationDifference.js';
import type * as httpServer from '../httpServer.js';
import type * as consoleContext from './consoleContext.js';
import * as differenceView from './differenceView.js';
import * as fields from './fields.js';
import * as html from './html.js';
import * as layout from './layout.js';

type Document = configuration.ConfigurationDocument;

/** Fields of every change form, in addition to those of the edited item. */
export const CHANGE_FIELDS: readonly fields.Field[] = [
  { name: 'reason', label: 'Reason', kind: 'text', hint: 'Kept in the history for the audit.' },
];

/** The configuration version that a form was opened with, and the write id of its change. */
export interface FormBase {
  readonly baseVersion: number;
  readonly writeId: string;
}

const VERSION_PATTERN = /^\d{1,9}$/;
const WRITE_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

/**
 * @param context - the request
 * @returns the base for a newly opened form
 */
export const createBase = (context: consoleContext.PageContext): FormBase => ({
  baseVersion: context.options.gateway.configuration()?.version ?? 0,
  writeId: context.options.newId(),
});

/**
 * @param form - fields of a POST
 * @returns the base that the form was opened with
 * @throws AuburnliftError `invalidRequest` if the hidden fields are missing or malformed
 */
export const readBase = (form: URLSearchParams): FormBase => {
  const version = form.get('baseVersion') ?? '';
  const writeId = form.get('writeId') ?? '';
  if (!VERSION_PATTERN.test(version) || !WRITE_ID_PATTERN.test(writeId)) {
    throw errors.fail('invalidRequest', 'the form is incomplete; open it again', {
      field: 'baseVersion',
    });
  }
  return { baseVersion: Number(version), writeId };
};

/**
 * @param context - the request
 * @param base - version and write id
 * @returns the hidden fields of a change form
 */
export const hiddenFields = (
  context: consoleContext.PageContext,
  base: FormBase,
): html.Html => html.html`${layout.csrfField(context.visitor)}
<input type="hidden" name="baseVersion" value="${base.baseVersion}">
<input type="hidden" name="writeId" value="${base.writeId}">`;

/**
 * @param context - the request
 * @param version - version that a form was opened with
 * @returns its document
 */
export const documentAt = async (
  context: consoleContext.PageContext,
  version: number,
): Promise<Document> => (await context.options.gateway.historyVersion(version)).document;

const COPIED_FIELDS = new Set(['csrf', 'baseVersion', 'writeId']);

/**
 * Renders a form that sends the entered values again with another base and extra fields.
 *
 * @param context - the request
 * @param action - path that the form is posted to
 * @param base - version and write id of the new attempt
 * @param extra - further fields
 * @param label - text of the button
 * @returns the form
 */
export const resendForm = (
  context: consoleContext.PageContext,
  action: string,
  base: FormBase,
  extra: html.Html,
  label: string,
): html.Html => {
  const typed = [...context.form].filter(([name]) => !COPIED_FIELDS.has(name));
  const copies = typed.map(
    ([name, value]) => html.html`<input type="hidden" name="${name}" value="${value}">`,
  );
  return html.html`<form class="card" method="post" action="${action}">
${hiddenFields(context, base)}${copies}${extra}<button type="submit">${label}</button></form>`;
};

const conflictPage = (
  context: consoleContext.PageContext,
  change: FormChange,
  error: errors.AuburnliftError,
): layout.Page => {
  const { action, before, document, isWholeDocument = false } = change;
  const current = error.detail.facts?.current as configuration.ConfigurationRecord | undefined;
  const theirs =
    current === undefined ? [] : configurationDifference.compareDocuments(before, current.document);
  const ours = configurationDifference.compareDocuments(before, document);
  const base = { baseVersion: current?.version ?? 0, writeId: context.options.newId() };
  const label = isWholeDocument
    ? 'Write my document and undo their change'
    : 'Make my change on top of theirs';
  const body = html.html`<p class="alert" role="alert">${error.message}</p>
<p>Version ${current?.version ?? 0} was written by ${current?.author ?? 'nobody'}:
${current?.reason ?? ''}</p>
<h2>Their change</h2>${differenceView.renderChanges(theirs, 'Since you opened the form')}
<h2>Your change</h2>${differenceView.renderChanges(ours, 'Not written')}
${resendForm(context, action, base, html.EMPTY, label)}`;
  return { title: 'Conflict', body, status: 409 };
};

const consentPage = (
  context: consoleContext.PageContext,
  action: string,
  error: errors.AuburnliftError,
  base: FormBase,
): layout.Page => {
  const effects = error.detail.facts?.effects as configurationDifference.ChangeEffect[];
  const consent = html.html`<input type="hidden" name="isStrandingAccepted" value="on">`;
  const body = html.html`<p class="alert" role="alert">Running guaranteed work would lose its
guarantee. Nothing was written.</p>${differenceView.renderEffects(effects)}
${resendForm(context, action, base, consent, 'Make the change anyway')}`;
  return { title: 'This change takes guarantees from running work', body, status: 409 };
};

const previewPage = async (
  context: consoleContext.PageContext,
  action: string,
  base: FormBase,
  document: Document,
): Promise<layout.Page> => {
  const preview = await context.options.gateway.previewConfiguration(base.baseVersion, document);
  context.form.delete('preview');
  const body = html.html`<p class="notice">Nothing was written.</p>
${differenceView.renderChanges(preview.changes, 'What would change')}
<h2>Effects</h2>${differenceView.renderEffects(preview.effects)}
${resendForm(context, action, base, html.EMPTY, 'Write the change')}`;
  return { title: 'Preview', body };
};

/** A configuration change submitted by a form. */
export interface FormChange {
  /** Path that the form is posted to. */
  readonly action: string;
  /** Page that shows the result. */
  readonly resultPath: string;
  readonly base: FormBase;
  /** The document that the form was opened with. */
  readonly before: Document | undefined;
  readonly document: Document;
  /** Whether the form contains the whole document, so that resending it overwrites the changes of others. */
  readonly isWholeDocument?: boolean;
}

/**
 * Writes the change, or shows its preview, a conflict, or a request for the consent that it needs.
 *
 * @param context - the request
 * @param change - the submitted change
 * @returns the reply
 */
export const submitChange = async (
  context: consoleContext.PageContext,
  change: FormChange,
): Promise<httpServer.ServerReply> => {
  const { action, base, document } = change;
  if (context.form.has('preview')) {
    return layout.pageReply(await previewPage(context, action, base, document), context.visitor);
  }
  try {
    const record = await context.options.gateway.writeConfiguration({
      ...base,
      document,
      author: context.session.operator.operatorId,
      reason: (context.form.get('reason') ?? '').trim(),
      isStrandingAccepted: context.form.get('isStrandingAccepted') === 'on',
    });
    return layout.redirectReply(`${change.resultPath}?written=${record.version}`);
  } catch (thrown) {
    const error = errors.normalize(thrown);
    const { facts } = error.detail;
    if (error.kind !== 'conflict' || facts === undefined) throw error;
    const page = Object.hasOwn(facts, 'effects')
      ? consentPage(context, action, error, base)
      : conflictPage(context, change, error);
    return layout.pageReply(page, context.visitor);
  }
};

/**
 * @param context - the request
 * @returns a notice of the written version, if the redirect after a write gave one
 */
export const writtenNotice = (context: consoleContext.PageContext): html.Html => {
  const version = context.query.get('written') ?? '';
  return html.when(
    VERSION_PATTERN.test(version),
    () => html.html`<p class="notice" role="status">Version ${version} is accepted.
<a href="/console/status">See where it is in force.</a></p>`,
  );
};
