/**
 * Sessions of the console. Entries store no sessions, and the load balancer sends each request to any
 * of them, so a session is a signed cookie that every entry can verify: the key is derived from the
 * secret shared by the system's processes.
 *
 * Three independent defences against cross-site request forgery, in case a browser fails to enforce one:
 * the cookie is not sent with such posts (SameSite=Strict), they lack the form's token, and their Origin
 * differs.
 */
import * as crypto from 'node:crypto';
import type * as nodeHttp from 'node:http';

import * as errors from '../../../base/common/errors.js';
import type * as operatorAuth from '../operatorAuth.js';

/** A session, decoded from the cookie. */
export interface Session {
  readonly operator: operatorAuth.Operator;
  readonly expiresAtMs: number;
  /** Token that each form of the session must contain. */
  readonly csrf: string;
}

/** Options of the sessions. */
export interface SessionOptions {
  /** Shared by the entries; never sent. */
  readonly peerSecret: string;
  readonly nowMs: () => number;
  /** Operators who have a token in the settings, with their current role. */
  readonly operators: readonly operatorAuth.Operator[];
}

/** Creates and verifies sessions. */
export interface Sessions {
  /** @returns the Set-Cookie header of a new session */
  readonly begin: (operator: operatorAuth.Operator, isSecure: boolean) => string;
  /** @returns the session, or undefined if the cookie is missing, forged or expired */
  readonly find: (headers: nodeHttp.IncomingHttpHeaders) => Session | undefined;
}

/** A working day: longer would leave a lost laptop signed in, shorter would lose half-filled forms. */
const SESSION_MS = 8 * 3_600_000;
const MS_PER_SECOND = 1000;
const COOKIE = 'auburnlift-session';
const KEY_BYTES = 32;

/** Cookie header that removes the session from the browser. */
export const END_COOKIE = `${COOKIE}=; HttpOnly; SameSite=Strict; Path=/console; Max-Age=0`;

const isEqual = (given: string, expected: string): boolean => {
  const [a, b] = [given, expected].map((it) => crypto.createHash('sha256').update(it).digest());
  return a !== undefined && b !== undefined && crypto.timingSafeEqual(a, b);
};

const cookieOf = (headers: nodeHttp.IncomingHttpHeaders): string | undefined =>
  (headers.cookie ?? '')
    .split(';')
    .map((it) => it.trim())
    .find((it) => it.startsWith(`${COOKIE}=`))
    ?.slice(COOKIE.length + 1);

/**
 * @param options - secret, clock and operators
 * @returns the sessions
 */
export const createSessions = (options: SessionOptions): Sessions => {
  const derived = crypto.hkdfSync('sha256', options.peerSecret, '', 'console session', KEY_BYTES);
  const key = Buffer.from(derived);
  const sign = (text: string): string =>
    crypto.createHmac('sha256', key).update(text).digest('base64url');
  const parse = (text: string): { operatorId: string; expiresAtMs: number } =>
    JSON.parse(Buffer.from(text, 'base64url').toString('utf8')) as never;
  return {
    begin: ({ operatorId }, isSecure) => {
      const expiresAtMs = options.nowMs() + SESSION_MS;
      const nonce = crypto.randomUUID();
      const text = Buffer.from(JSON.stringify({ operatorId, expiresAtMs, nonce })).toString(
        'base64url',
      );
      const secure = isSecure ? '; Secure' : '';
      const maxAge = SESSION_MS / MS_PER_SECOND;
      const attributes = `HttpOnly; SameSite=Strict; Path=/console; Max-Age=${maxAge}${secure}`;
      return `${COOKIE}=${text}.${sign(text)}; ${attributes}`;
    },
    find: (headers) => {
      const [text = '', signature = ''] = (cookieOf(headers) ?? '').split('.');
      if (text === '' || !isEqual(signature, sign(text))) return undefined;
      const { operatorId, expiresAtMs } = parse(text);
      // Uses the current settings: removing a token ends its sessions, and a changed role applies immediately.
      const operator = options.operators.find((it) => it.operatorId === operatorId);
      if (operator === undefined || expiresAtMs <= options.nowMs()) return undefined;
      return { operator, expiresAtMs, csrf: sign(`form ${text}`) };
    },
  };
};

/**
 * @param headers - headers of a POST
 * @throws AuburnliftError `forbidden` if the Origin header is missing or names another site
 */
export const assertSameOrigin = (headers: nodeHttp.IncomingHttpHeaders): void => {
  const { origin, host } = headers;
  const isOwn = URL.canParse(origin ?? '') && new URL(origin ?? '').host === host;
  if (!isOwn) throw errors.fail('forbidden', 'the form was sent from another site; nothing ran');
};

/**
 * @param form - fields of a POST
 * @param session - the session
 * @throws AuburnliftError `forbidden` if the form's token is missing or belongs to another session
 */
export const assertFormToken = (form: URLSearchParams, session: Session): void => {
  if (isEqual(form.get('csrf') ?? '', session.csrf)) return;
  throw errors.fail('forbidden', 'the form is not from this session; nothing ran');
};
