/**
 * The error that carries one of the closed list of kinds, with its form on the wire.
 */
import * as modernErrors from 'modern-errors';

import * as errorKinds from './errorKinds.js';

/** What an error says besides its kind and message. */
export interface ErrorDetail {
  /** Path of the offending field, `customers[0].id`. */
  readonly field?: string;
  /** When the sender may try again. */
  readonly retryAfterMs?: number;
  /** Further facts for programs, such as the two sides of a conflict. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/** An error as it travels between processes and to callers. */
export interface ErrorBody extends ErrorDetail {
  readonly kind: errorKinds.ErrorKind;
  readonly message: string;
  readonly ran: errorKinds.Ran;
  readonly isRetryable: boolean;
}

const UNSET_KIND: errorKinds.ErrorKind = 'internal';
const UNSET_DETAIL: ErrorDetail = {};

const KnownError = modernErrors.default.subclass('AuburnliftError', {
  props: { kind: UNSET_KIND, detail: UNSET_DETAIL },
});

/** An error of a known kind. Anything else that is thrown is a defect and answers as `internal`. */
export interface AuburnliftError extends Error {
  readonly kind: errorKinds.ErrorKind;
  readonly detail: ErrorDetail;
}

/**
 * @param thrown - anything caught
 * @returns whether its kind is known
 */
export const isKnown = (thrown: unknown): thrown is AuburnliftError => thrown instanceof KnownError;

/**
 * @param kind - one of the closed list
 * @param message - one sentence for people, without secrets
 * @param detail - the field, the wait in milliseconds and facts, where they apply
 * @returns the error, to be thrown or kept
 */
export const fail = (
  kind: errorKinds.ErrorKind,
  message: string,
  detail: ErrorDetail = {},
): AuburnliftError => new KnownError(message, { props: { kind, detail } });

/**
 * @param thrown - anything caught
 * @returns the same error where its kind is known, otherwise an `internal` one
 */
export const normalize = (thrown: unknown): AuburnliftError => {
  if (isKnown(thrown)) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return fail('internal', message);
};

/**
 * @param error - an error of a known kind
 * @returns its form on the wire
 */
export const toBody = (error: AuburnliftError): ErrorBody => {
  const { isRetryable, ran } = errorKinds.ERROR_TABLE[error.kind];
  return { kind: error.kind, message: error.message, ran, isRetryable, ...error.detail };
};

/**
 * @param body - what another process sent as an error
 * @returns the error; an unknown kind becomes `internal`, whose outcome is unknown
 */
export const fromBody = (body: unknown): AuburnliftError => {
  if (typeof body !== 'object' || body === null) return fail('internal', 'error without a body');
  const { kind, message, field, retryAfterMs, facts } = body as Partial<ErrorBody>;
  if (!errorKinds.isErrorKind(kind)) return fail('internal', `unknown error kind: ${String(kind)}`);
  return fail(kind, String(message), {
    ...(field === undefined ? {} : { field }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(facts === undefined ? {} : { facts }),
  });
};
