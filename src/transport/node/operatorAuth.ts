/**
 * Who an operator is: tokens are kept hashed, and a token that is not known costs the entry little.
 */
import * as crypto from 'node:crypto';
import * as util from 'node:util';

import * as errors from '../../base/common/errors.js';
import type * as settings from '../../state/common/settings.js';

/** What an operator may do. */
export type Role = settings.OperatorToken['role'];

/** An operator who has shown a token. */
export interface Operator {
  readonly operatorId: string;
  readonly role: Role;
}

/** Gives the operator of a token. */
export type Authenticator = (token: string) => Promise<Operator>;

const HASH_BYTES = 32;
const TOKEN_PATTERN = /^[\x21-\x7e]{8,256}$/;

/**
 * Load: somebody tries tokens in a loop. Each try costs about 50 ms of a core for each known token;
 * more than two at once would take the threads that name look-ups and files need as well.
 */
const MAX_CHECKS_AT_ONCE = 2;
const BUSY_RETRY_MS = 1000;

type Scrypt = (token: string, salt: Buffer, length: number) => Promise<Buffer>;
const scrypt = util.promisify(crypto.scrypt) as Scrypt;

const isMatch = async (token: string, known: settings.OperatorToken): Promise<boolean> => {
  const hash = await scrypt(token, Buffer.from(known.saltHex, 'hex'), HASH_BYTES);
  return crypto.timingSafeEqual(hash, Buffer.from(known.hashHex, 'hex'));
};

/**
 * @param tokens - known tokens, hashed
 * @returns a function that gives the operator of a token; scrypt is slow on purpose, so tokens that
 *   were right once are remembered by a plain hash
 */
export const createAuthenticator = (tokens: readonly settings.OperatorToken[]): Authenticator => {
  const seen = new Map<string, Operator>();
  let checks = 0;
  const find = async (token: string): Promise<Operator | undefined> => {
    if (checks >= MAX_CHECKS_AT_ONCE) {
      throw errors.fail('overloaded', 'too many tokens are being checked; nothing ran', {
        retryAfterMs: BUSY_RETRY_MS,
      });
    }
    checks += 1;
    try {
      for (const it of tokens) if (await isMatch(token, it)) return it;
      return undefined;
    } finally {
      checks -= 1;
    }
  };
  return async (token) => {
    if (!TOKEN_PATTERN.test(token)) {
      throw errors.fail('unauthenticated', 'the token is missing or malformed');
    }
    const digest = crypto.createHash('sha256').update(token).digest('hex');
    const known = seen.get(digest) ?? (await find(token));
    if (known === undefined) throw errors.fail('unauthenticated', 'the token is not known');
    const { operatorId, role } = known;
    seen.set(digest, { operatorId, role });
    return { operatorId, role };
  };
};

/**
 * @param header - an Authorization header
 * @returns its bearer token
 * @throws AuburnliftError `unauthenticated` where there is none
 */
export const bearerToken = (header: string | undefined): string => {
  const token = /^Bearer (\S+)$/.exec(header ?? '')?.[1];
  if (token !== undefined) return token;
  throw errors.fail('unauthenticated', 'send your token as Authorization: Bearer TOKEN');
};

/**
 * @param operator - who asks
 * @param role - what the operation needs
 * @throws AuburnliftError `forbidden` where a reader asks for a write
 */
export const assertRole = (operator: Operator, role: Role): void => {
  if (role === 'read' || operator.role === 'write') return;
  throw errors.fail('forbidden', `operator ${operator.operatorId} may only read; nothing ran`);
};
