/**
 * Pages that show and edit the parts of the configuration document.
 */
import * as errors from '../../../base/common/errors.js';
import * as configurationChecks from '../../../state/common/configurationChecks.js';
import type * as httpServer from '../httpServer.js';
import * as changeForms from './changeForms.js';
import type * as consoleContext from './consoleContext.js';
import * as documentEdit from './documentEdit.js';
import * as editors from './editors.js';
import * as fields from './fields.js';
import * as html from './html.js';
import * as layout from './layout.js';

type Context = consoleContext.PageContext;

interface FormState {
  readonly editor: editors.Editor;
  /** Id of the edited item; empty for a new one. */
  readonly id: string;
  readonly base: changeForms.FormBase;
  readonly typed: fields.EnteredValues;
  readonly errors: fields.FieldErrors;
}

const MAX_REASON = 400;

const pathOf = (editor: editors.Editor): string => `/console/${editor.name}`;

const actionOf = (editor: editors.Editor, id: string): string =>
  editor.idKey === undefined || id === ''
    ? pathOf(editor)
    : `${pathOf(editor)}/edit/${encodeURIComponent(id)}`;

const currentDocument = (context: Context) => {
  const record = context.options.gateway.configuration();
  if (record !== undefined) return record.document;
  throw errors.fail('storeUnavailable', 'no configuration is in force yet');
};

/** Returns the document that a form of a single item was opened with; such forms need an existing document. */
const openedDocument = async (context: Context, version: number) => {
  const document = await changeForms.documentAt(context, version);
  if (document !== undefined) return document;
  throw errors.fail(
    'invalidRequest',
    'the form was opened before the first configuration was written',
  );
};

const renderForm = (context: Context, state: FormState): html.Html => {
  const { editor, typed } = state;
  const formFields = [...editor.fields(currentDocument(context)), ...changeForms.CHANGE_FIELDS];
  const general = state.errors.get('') ?? [];
  return html.html`${general.map((it) => html.html`<p class="alert" role="alert">${it}</p>`)}
<form class="card" method="post" action="${actionOf(editor, state.id)}" novalidate>
${changeForms.hiddenFields(context, state.base)}
${formFields.map((it) => fields.renderField(it, typed[it.name] ?? '', state.errors.get(it.name)))}
<button type="submit">Save</button>
<button class="quiet" type="submit" name="preview" value="on">Preview</button></form>`;
};

const deleteForm = (context: Context, editor: editors.Editor, id: string): html.Html =>
  html.html`<form class="card" method="post"
action="${pathOf(editor)}/delete/${encodeURIComponent(id)}" aria-label="Remove">
${changeForms.hiddenFields(context, changeForms.createBase(context))}
<div class="field"><label for="delete-reason">Reason to remove it</label>
<input type="text" id="delete-reason" name="reason"></div>
<button class="danger" type="submit">Remove ${id}</button></form>`;

const formPage = (context: Context, state: FormState, status = 200): httpServer.ServerReply => {
  const { editor, id } = state;
  const isNew = id === '' && editor.idKey !== undefined;
  const name = id === '' ? editor.itemTitle : `${editor.itemTitle} ${id}`;
  const body = html.html`${changeForms.writtenNotice(context)}${renderForm(context, state)}
${html.when(id !== '', () => deleteForm(context, editor, id))}`;
  const title = isNew ? `New ${name}` : `Change ${name}`;
  return layout.pageReply({ title, body, status }, context.visitor);
};

const showList = (context: Context, editor: editors.Editor): httpServer.ServerReply => {
  const document = currentDocument(context);
  const listFields = editor.fields(document);
  const rows = documentEdit.itemsOf(document, editor).map((item) => {
    const typed = fields.toEnteredValues(listFields, item);
    return listFields.map((it) => {
      const text = typed[it.name] ?? '';
      if (it.name !== editor.idKey) return text;
      return html.html`<a href="${actionOf(editor, text)}">${text}</a>`;
    });
  });
  const headings = listFields.map((it) => it.label);
  const body = html.html`${changeForms.writtenNotice(context)}
<p><a href="${pathOf(editor)}/new">New ${editor.itemTitle}</a></p>
${html.table(headings, rows, `In version ${context.options.gateway.configuration()?.version ?? 0}`)}`;
  return layout.pageReply({ title: editor.title, body }, context.visitor);
};

const openForm = (context: Context, editor: editors.Editor, id: string): httpServer.ServerReply => {
  const document = currentDocument(context);
  const isNew = id === '' && editor.idKey !== undefined;
  const item = isNew ? undefined : documentEdit.findItem(document, editor, id);
  if (!isNew && item === undefined) {
    throw errors.fail('notFound', `no ${editor.itemTitle} ${id}`, { field: 'id' });
  }
  const typed =
    item === undefined ? editor.initial : fields.toEnteredValues(editor.fields(document), item);
  const base = changeForms.createBase(context);
  return formPage(context, { editor, id, base, typed, errors: new Map() });
};

/**
 * @param typed - entered values
 * @returns validation errors of the reason
 */
export const reasonErrors = (typed: fields.EnteredValues): readonly string[] => {
  const { reason = '' } = typed;
  if (reason === '') return ['a reason is expected'];
  return reason.length > MAX_REASON ? [`at most ${MAX_REASON} characters expected`] : [];
};

const save = async (
  context: Context,
  editor: editors.Editor,
  id: string,
): Promise<httpServer.ServerReply> => {
  const base = changeForms.readBase(context.form);
  const before = await openedDocument(context, base.baseVersion);
  const itemFields = editor.fields(before);
  const typed = fields.readEnteredValues(
    [...itemFields, ...changeForms.CHANGE_FIELDS],
    context.form,
  );
  const item = fields.toItem(itemFields, typed);
  const edited = documentEdit.withItem(before, editor, id, item);
  const decoded = configurationChecks.decodeDocument(edited.document);
  const issues = decoded.isValid ? [] : decoded.issues;
  const found = new Map(documentEdit.errorsByField(issues, editor, edited.index, typed));
  const ofReason = reasonErrors(typed);
  if (ofReason.length > 0) found.set('reason', ofReason);
  if (editor.idKey !== undefined && id !== '' && item[editor.idKey] !== id) {
    found.set(editor.idKey, [`${JSON.stringify(item[editor.idKey])} given, ${id} expected`]);
  }
  if (!decoded.isValid || found.size > 0) {
    return formPage(context, { editor, id, base, typed, errors: found }, 400);
  }
  const action = actionOf(editor, id);
  const { value: document } = decoded;
  const change = { action, resultPath: pathOf(editor), base, before, document };
  return changeForms.submitChange(context, change);
};

const remove = async (
  context: Context,
  editor: editors.Editor,
  id: string,
): Promise<httpServer.ServerReply> => {
  const base = changeForms.readBase(context.form);
  const before = await openedDocument(context, base.baseVersion);
  const reason = reasonErrors({ reason: (context.form.get('reason') ?? '').trim() });
  const decoded = configurationChecks.decodeDocument(documentEdit.withoutItem(before, editor, id));
  if (!decoded.isValid || reason.length > 0) {
    const issues = decoded.isValid ? [] : decoded.issues;
    const body = html.html`<p class="alert" role="alert">Nothing was removed.</p><ul>
${issues.map((it) => html.html`<li><code>${it.field}</code>: ${it.message}</li>`)}
${reason.map((it) => html.html`<li>reason: ${it}</li>`)}</ul>
<p><a href="${actionOf(editor, id)}">Back</a></p>`;
    const title = `${editor.itemTitle} ${id} cannot be removed`;
    return layout.pageReply({ title, body, status: 400 }, context.visitor);
  }
  const action = `${pathOf(editor)}/delete/${encodeURIComponent(id)}`;
  const { value: document } = decoded;
  const change = { action, resultPath: pathOf(editor), base, before, document };
  return changeForms.submitChange(context, change);
};

const listRoutes = (editor: editors.Editor): readonly consoleContext.ConsoleRoute[] => {
  const path = pathOf(editor);
  const get = (
    pattern: string,
    show: (context: Context) => httpServer.ServerReply,
  ): consoleContext.ConsoleRoute => ({
    method: 'GET',
    pattern,
    // Rendered inside the promise, so that a thrown error becomes an error page.
    handle: (context) => Promise.resolve().then(() => show(context)),
  });
  const post = (
    pattern: string,
    handle: (context: Context) => Promise<httpServer.ServerReply>,
  ): consoleContext.ConsoleRoute => ({ method: 'POST', pattern, handle });
  if (editor.idKey === undefined) {
    return [
      get(path, (context) => openForm(context, editor, '')),
      post(path, (context) => save(context, editor, '')),
    ];
  }
  return [
    get(path, (context) => showList(context, editor)),
    get(`${path}/new`, (context) => openForm(context, editor, '')),
    post(path, (context) => save(context, editor, '')),
    get(`${path}/edit/:id`, (context) => openForm(context, editor, context.param('id'))),
    post(`${path}/edit/:id`, (context) => save(context, editor, context.param('id'))),
    post(`${path}/delete/:id`, (context) => remove(context, editor, context.param('id'))),
  ];
};

/** Routes of all document forms. */
export const DOCUMENT_ROUTES: readonly consoleContext.ConsoleRoute[] =
  editors.EDITORS.flatMap(listRoutes);
