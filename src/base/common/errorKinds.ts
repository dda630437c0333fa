/**
 * The closed list of error kinds and the table from a kind to its response. Every error that a caller, an
 * operator or another process of the system receives has one of these kinds.
 */

/** Whether the work that the error refers to was executed. */
export const Ran = { no: 'no', yes: 'yes', unknown: 'unknown' } as const;

/** One of the values of {@link Ran}. */
export type Ran = (typeof Ran)[keyof typeof Ran];

/** External representation of one kind of error. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  /** Exit status of the command-line client. */
  readonly exitCode: number;
  /** Whether the same request may succeed later without changes. */
  readonly isRetryable: boolean;
  readonly ran: Ran;
}

const answer = (
  httpStatus: number,
  exitCode: number,
  isRetryable: boolean,
  ran: Ran,
): ErrorAnswer => ({ httpStatus, exitCode, isRetryable, ran });

/** The table from kind to answer. Its keys are the closed list of kinds. */
export const ERROR_TABLE = {
  /** A field is missing, unknown or outside its limits. */
  invalidRequest: answer(400, 10, false, Ran.no),
  /** The credential is missing or unknown. */
  unauthenticated: answer(401, 11, false, Ran.no),
  /** The credential does not carry the role that the operation needs. */
  forbidden: answer(403, 12, false, Ran.no),
  /** The named job, customer, worker or page does not exist. */
  notFound: answer(404, 13, false, Ran.no),
  /** The job was never accepted, or ended so long ago that its records have been deleted. */
  gone: answer(410, 18, false, Ran.no),
  /** A concurrent change of the same object came first. */
  conflict: answer(409, 14, false, Ran.no),
  /** The body or document is larger than the stated limit. */
  tooLarge: answer(413, 15, false, Ran.no),
  /** No worker or shape has the capacity for the job. */
  unrunnable: answer(422, 16, false, Ran.no),
  /** The customer has used up its share or quota. */
  quotaExceeded: answer(429, 20, true, Ran.no),
  /** Queues or budgets are full. */
  overloaded: answer(503, 21, true, Ran.no),
  /** The work could not finish before its deadline, so it was not started. */
  deadlineUnmeetable: answer(503, 22, true, Ran.no),
  /** No upstream that could serve the request is known. */
  noUpstream: answer(503, 23, true, Ran.no),
  /** The process or upstream is draining. */
  draining: answer(503, 24, true, Ran.no),
  /** The platform's store does not respond, so nothing could be made durable. */
  storeUnavailable: answer(503, 25, true, Ran.no),
  /** The process does not lead the cell, or no process does. */
  notLeader: answer(503, 26, true, Ran.no),
  /** The message carries an older leadership epoch than the receiver has accepted. */
  staleEpoch: answer(409, 27, false, Ran.no),
  /** One side's configuration is older than the other's, and it could not catch up. */
  staleConfiguration: answer(409, 28, true, Ran.no),
  /** The request was settled as not run before it arrived. */
  tombstoned: answer(409, 29, false, Ran.no),
  /** The caller cancelled the request before it was started. */
  cancelled: answer(499, 30, false, Ran.no),
  /** The upstream ran the request, and its response was lost or truncated. */
  incompleteAnswer: answer(502, 40, false, Ran.yes),
  /** The request may or may not have run; it is never run again. */
  outcomeUnknown: answer(504, 41, false, Ran.unknown),
  /** Another process of the system does not respond; whether it executed the request is unknown. */
  peerUnreachable: answer(503, 42, true, Ran.unknown),
  /** A defect of the system itself. */
  internal: answer(500, 70, false, Ran.unknown),
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_TABLE;

/**
 * @param kind - text received from another process
 * @returns whether the text names one of the closed list of kinds
 */
export const isErrorKind = (kind: unknown): kind is ErrorKind =>
  typeof kind === 'string' && Object.hasOwn(ERROR_TABLE, kind);
