/**
 * Page to edit the whole document as JSON: for the first configuration, and for changes of several parts.
 */
import type * as schemaIssues from '../../../base/common/schemaIssues.js';
import * as configurationChecks from '../../../state/common/configurationChecks.js';
import type * as httpServer from '../httpServer.js';
import * as changeForms from './changeForms.js';
import type * as consoleContext from './consoleContext.js';
import * as documentPages from './documentPages.js';
import * as fields from './fields.js';
import * as html from './html.js';
import * as layout from './layout.js';

type Context = consoleContext.PageContext;

const PATH = '/console/document';
const INDENT = 2;
const ROWS = 30;

interface TextState {
  readonly base: changeForms.FormBase;
  readonly text: string;
  readonly reason: string;
  readonly problems: readonly string[];
}

const textPage = (context: Context, state: TextState, status = 200): httpServer.ServerReply => {
  const { problems } = state;
  const invalid = problems.length > 0 ? html.html` aria-invalid="true"` : html.EMPTY;
  const reasonFields = changeForms.CHANGE_FIELDS.map((it) => fields.renderField(it, state.reason));
  const body = html.html`${changeForms.writtenNotice(context)}
${problems.map((it) => html.html`<p class="alert" role="alert">${it}</p>`)}
<form class="card" method="post" action="${PATH}">
${changeForms.hiddenFields(context, state.base)}
<div class="field"><label for="document">Document</label>
<p class="hint" id="document-hint">JSON, the whole configuration.</p>
<textarea id="document" name="document" rows="${ROWS}" spellcheck="false"
aria-describedby="document-hint"${invalid}>${'\n'}${state.text}</textarea></div>${reasonFields}
<button type="submit">Save</button>
<button class="quiet" type="submit" name="preview" value="on">Preview</button></form>`;
  const { baseVersion } = state.base;
  const title = baseVersion === 0 ? 'The first configuration' : `Document, version ${baseVersion}`;
  return layout.pageReply({ title, body, status }, context.visitor);
};

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const describeIssues = (issues: readonly schemaIssues.FieldIssue[]): readonly string[] =>
  issues.map((it) => `${it.field}: ${it.message}`);

const show: consoleContext.ConsoleRoute = {
  method: 'GET',
  pattern: PATH,
  handle: (context) => {
    const document = context.options.gateway.configuration()?.document;
    const text = document === undefined ? '' : JSON.stringify(document, undefined, INDENT);
    const base = changeForms.createBase(context);
    return Promise.resolve(textPage(context, { base, text, reason: '', problems: [] }));
  },
};

const save: consoleContext.ConsoleRoute = {
  method: 'POST',
  pattern: PATH,
  handle: async (context) => {
    const base = changeForms.readBase(context.form);
    const text = context.form.get('document') ?? '';
    const reason = (context.form.get('reason') ?? '').trim();
    const parsed = parse(text);
    const decoded = configurationChecks.decodeDocument(parsed);
    const ofText = parsed === undefined ? ['the document is not JSON'] : [];
    const ofFields = decoded.isValid || parsed === undefined ? [] : describeIssues(decoded.issues);
    const ofReason = documentPages.reasonErrors({ reason }).map((it) => `reason: ${it}`);
    const problems = [...ofText, ...ofFields, ...ofReason];
    if (!decoded.isValid || problems.length > 0) {
      return textPage(context, { base, text, reason, problems }, 400);
    }
    const before = await changeForms.documentAt(context, base.baseVersion);
    const { value: document } = decoded;
    const change = {
      action: PATH,
      resultPath: PATH,
      base,
      before,
      document,
      isWholeDocument: true,
    };
    return changeForms.submitChange(context, change);
  },
};

/** Routes of the whole-document page. */
export const WHOLE_DOCUMENT_ROUTES: readonly consoleContext.ConsoleRoute[] = [show, save];
