/**
 * The operators' console: sign-in, access checks before every page and form, and error pages.
 */
import * as errorKinds from '../../../base/common/errorKinds.js';
import * as errors from '../../../base/common/errors.js';
import type * as httpServer from '../httpServer.js';
import * as operatorAuth from '../operatorAuth.js';
import * as operatorRoutes from '../operatorRoutes.js';
import * as serviceLevelPage from './serviceLevelPage.js';
import * as changeForms from './changeForms.js';
import type * as consoleContext from './consoleContext.js';
import * as documentPages from './documentPages.js';
import * as historyPages from './historyPages.js';
import * as html from './html.js';
import * as layout from './layout.js';
import * as session from './session.js';
import * as viewPages from './viewPages.js';
import * as wholeDocumentPages from './wholeDocumentPages.js';

/** Options of the console. */
export interface ConsoleAppOptions extends consoleContext.ConsoleOptions {
  readonly sessions: session.Sessions;
  readonly authenticate: operatorAuth.Authenticator;
}

/** Path prefix of all pages. */
export const CONSOLE_PATH = '/console';

const SIGN_IN_PATH = `${CONSOLE_PATH}/sign-in`;
const SIGN_OUT_PATH = `${CONSOLE_PATH}/sign-out`;

const ROUTES: readonly consoleContext.ConsoleRoute[] = [
  ...viewPages.VIEW_ROUTES,
  ...serviceLevelPage.SERVICE_LEVEL_ROUTES,
  ...documentPages.DOCUMENT_ROUTES,
  ...wholeDocumentPages.WHOLE_DOCUMENT_ROUTES,
  ...historyPages.HISTORY_ROUTES,
];

const formOf = (request: httpServer.ServerRequest): URLSearchParams =>
  new URLSearchParams(Buffer.from(request.body).toString('utf8'));

const signInPage = (problem: string | undefined, status: number): httpServer.ServerReply => {
  const body = html.html`${html.when(problem !== undefined, () => html.html`<p class="alert" role="alert">${problem}</p>`)}
<form class="card" method="post" action="${SIGN_IN_PATH}"><div class="field">
<label for="token">Operator's token</label>
<p class="hint" id="token-hint">The token itself is not stored.</p>
<input type="password" id="token" name="token" autocomplete="current-password"
aria-describedby="token-hint"></div><button type="submit">Sign in</button></form>`;
  return layout.pageReply({ title: 'Sign in', body, status }, undefined);
};

const signIn = async (
  options: ConsoleAppOptions,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  session.assertSameOrigin(request.headers);
  try {
    const operator = await options.authenticate(formOf(request).get('token') ?? '');
    const isSecure = request.headers['x-forwarded-proto'] === 'https';
    return layout.redirectReply(CONSOLE_PATH, {
      'set-cookie': options.sessions.begin(operator, isSecure),
    });
  } catch (thrown) {
    const error = errors.normalize(thrown);
    return signInPage(error.message, errorKinds.ERROR_TABLE[error.kind].httpStatus);
  }
};

const errorPage = (
  error: errors.AuburnliftError,
  context: consoleContext.PageContext | undefined,
  action: string,
): httpServer.ServerReply => {
  const { httpStatus: status, isRetryable } = errorKinds.ERROR_TABLE[error.kind];
  const isChange = context?.form.has('writeId') === true && context.form.has('baseVersion');
  const canResend = isChange && (isRetryable || error.kind === 'outcomeUnknown');
  const resend =
    context === undefined || !canResend
      ? html.EMPTY
      : html.html`<p>Sending the form again is safe: it carries the same write id.</p>
${changeForms.resendForm(context, action, changeForms.readBase(context.form), html.EMPTY, 'Send again')}`;
  const body = html.html`<p class="alert" role="alert">${error.message}</p>${resend}
<p><a href="${CONSOLE_PATH}">Overview</a>,
<a href="/console/document">the whole document</a></p>`;
  return layout.pageReply({ title: 'Request failed', body, status }, context?.visitor);
};

const findRoute = (
  request: httpServer.ServerRequest,
): { route: consoleContext.ConsoleRoute; params: ReadonlyMap<string, string> } => {
  for (const route of ROUTES) {
    const params =
      route.method === request.method
        ? operatorRoutes.matchPath(route.pattern, request.path)
        : undefined;
    if (params !== undefined) return { route, params };
  }
  throw errors.fail('notFound', `no page ${request.path}`, { field: 'path' });
};

const answer = async (
  options: ConsoleAppOptions,
  request: httpServer.ServerRequest,
  found: session.Session,
): Promise<httpServer.ServerReply> => {
  const { operator, csrf } = found;
  let context: consoleContext.PageContext | undefined;
  try {
    const form = formOf(request);
    if (request.method === 'POST') {
      session.assertSameOrigin(request.headers);
      session.assertFormToken(form, found);
      if (request.path === SIGN_OUT_PATH) {
        return layout.redirectReply(SIGN_IN_PATH, { 'set-cookie': session.END_COOKIE });
      }
      operatorAuth.assertRole(operator, 'write');
    }
    const { route, params } = findRoute(request);
    const visitor = { operatorId: operator.operatorId, role: operator.role, csrf };
    const param = (name: string): string => params.get(name) ?? '';
    context = { options, session: found, visitor, form, query: request.query, param };
    return await route.handle(context);
  } catch (thrown) {
    return errorPage(errors.normalize(thrown), context, request.path);
  }
};

/**
 * @param path - path of a request
 * @returns whether the console handles it
 */
export const isConsolePath = (path: string): boolean =>
  path === '/' || path === CONSOLE_PATH || path.startsWith(`${CONSOLE_PATH}/`);

/**
 * @param options - dependencies of the console
 * @returns the handler of the console
 */
export const createConsole =
  (options: ConsoleAppOptions): httpServer.Handler =>
  async (request) => {
    if (request.path === '/') return layout.redirectReply(CONSOLE_PATH);
    try {
      if (request.path === SIGN_IN_PATH && request.method === 'GET') {
        return signInPage(undefined, 200);
      }
      if (request.path === SIGN_IN_PATH && request.method === 'POST') {
        return await signIn(options, request);
      }
    } catch (thrown) {
      return errorPage(errors.normalize(thrown), undefined, request.path);
    }
    const found = options.sessions.find(request.headers);
    if (found !== undefined) return answer(options, request, found);
    return request.method === 'GET'
      ? layout.redirectReply(SIGN_IN_PATH)
      : signInPage('sign in first; nothing ran', 401);
  };
