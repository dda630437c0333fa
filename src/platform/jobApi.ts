/**
 * HTTP API of an entry for clients: POST, GET and DELETE of a job, and the number of pending jobs of a queue.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import type * as logging from '../base/common/logging.js';
import type * as metrics from '../base/common/metrics.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as jobRequestHandler from '../coordination/node/pool/jobRequestHandler.js';
import type * as poolJob from '../state/common/pool/poolJob.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as httpServer from '../transport/node/httpServer.js';

/** What the API needs. */
export interface JobApiOptions {
  readonly jobs: jobRequestHandler.JobRequestHandler;
  /** Number of accepted jobs of a queue of which no task has started. */
  readonly pending: (queue: string) => Promise<number>;
  readonly maxBodyBytes: () => number;
  /**
   * Whether callers should open their next connection to another entry: an open connection stays with
   * this entry even after the load balancer has taken it out of rotation.
   */
  readonly shouldCloseConnections: () => boolean;
  /** Called when a record of a job was stored. */
  readonly onDidStore: (jobId: string, part: poolKeys.JobPart) => void;
  readonly newRequestId: () => string;
  readonly nowMs: () => number;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
}

const KEY_HEADER = 'auburnlift-key';
const DEADLINE_HEADER = 'auburnlift-deadline-ms';

/** Approximate time that a caller without a deadline header waits. */
const DEFAULT_DEADLINE_MS = 3000;

const JOB_ID = /^[0-9a-fA-F]{16}$/;

/** Maximum payload of a job. */
const MAX_PAYLOAD_BYTES = 4000;

const Count = Schema.Number.check(
  Schema.makeFilter((value: number) => Number.isSafeInteger(value) && value >= 0, {
    expected: 'an integer of at least 0',
  }),
);

const Milliseconds = Schema.Number.check(
  Schema.makeFilter((value: number) => Number.isFinite(value) && value >= 0, {
    expected: 'a number of at least 0',
  }),
);

const optional = Schema.optionalKey;

const WireStep = Schema.Struct({
  count: optional(Count),
  /** Thousandths of a core. */
  cpu: optional(Count),
  mem_mb: optional(Count),
  gpu: optional(Count),
  est_ms: optional(Milliseconds),
  after: optional(Schema.Array(Count)),
  checkpoint: optional(Schema.Boolean),
  gang: optional(Schema.Boolean),
  same_rack: optional(Schema.Boolean),
  requires: optional(Schema.String),
  /** Name of the preferred rack. */
  affinity: optional(Schema.String),
  max_per_server: optional(Count),
  speculative: optional(Schema.Boolean),
  long_running: optional(Schema.Boolean),
  image: optional(Schema.String),
  target_ms: optional(Milliseconds),
  fills: optional(Schema.Boolean),
  may_miss: optional(Count),
});

const WireJob = Schema.Struct({
  spec: optional(Schema.String),
  steps: optional(Schema.Array(WireStep)),
  /** How often the steps run; 0 or absent if there is no schedule. */
  repeats: optional(Count),
  start_time_ms: optional(Milliseconds),
  interval_ms: optional(Milliseconds),
});

const optionalText = <TName extends string>(
  name: TName,
  value: string | undefined,
): Partial<Record<TName, string>> =>
  value === undefined || value === '' ? {} : ({ [name]: value } as Record<TName, string>);

const toStep = (step: typeof WireStep.Type, index: number): poolJob.Step => {
  if ((step.count ?? 0) < 1) {
    throw errors.fail('invalidRequest', `steps[${index}].count: at least 1; nothing ran`, {
      field: `steps[${index}].count`,
    });
  }
  return {
    count: step.count ?? 1,
    resources: {
      cpuMillicores: step.cpu ?? 0,
      memoryMb: step.mem_mb ?? 0,
      accelerators: step.gpu ?? 0,
    },
    estimatedMs: Math.round(step.est_ms ?? 0),
    after: step.after ?? [],
    isCheckpointing: step.checkpoint ?? false,
    isGang: step.gang ?? false,
    isSameRack: step.same_rack ?? false,
    ...optionalText('requiredLabel', step.requires),
    ...optionalText('preferredRack', step.affinity),
    maxPerWorker: step.max_per_server ?? 0,
    isSpeculative: step.speculative ?? false,
    isLongRunning: step.long_running ?? false,
    ...optionalText('image', step.image),
    targetLatencyMs: Math.round(step.target_ms ?? 0),
    isFiller: step.fills ?? false,
    ...(step.may_miss === undefined ? {} : { maxUnavailable: step.may_miss }),
  };
};

const decodeDraft = (request: httpServer.ServerRequest): jobRequestHandler.JobDraft => {
  const wire = schemaIssues.decodeOrFail(
    WireJob,
    httpServer.parseJsonBody(request),
    'the job',
    schemaIssues.Excess.ignore,
  );
  const payload = wire.spec ?? '';
  if (Buffer.byteLength(payload) > MAX_PAYLOAD_BYTES) {
    throw errors.fail('invalidRequest', `spec: at most ${MAX_PAYLOAD_BYTES} bytes; nothing ran`, {
      field: 'spec',
    });
  }
  const occurrences = wire.repeats ?? 0;
  const schedule =
    occurrences === 0
      ? undefined
      : {
          firstAtMs: Math.round(wire.start_time_ms ?? 0),
          intervalMs: Math.round(wire.interval_ms ?? 0),
          occurrences,
        };
  return { payload, steps: (wire.steps ?? []).map(toStep), schedule };
};

const singleHeader = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const deadlineOf = (request: httpServer.ServerRequest): number => {
  const given = Number(singleHeader(request.headers[DEADLINE_HEADER]));
  return Number.isFinite(given) && given > 0 ? given : DEFAULT_DEADLINE_MS;
};

/** Returns the host name without the port. */
const hostOf = (request: httpServer.ServerRequest): string =>
  (request.headers.host ?? '').replace(/:\d+$/, '');

/**
 * @param options - what the API needs
 * @returns its handler
 */
export const createJobApi = (options: JobApiOptions): httpServer.Handler => {
  const handleCall = async (
    request: httpServer.ServerRequest,
    call: jobRequestHandler.Call,
  ): Promise<httpServer.ServerReply> => {
    const { jobs: desk } = options;
    const admitted = desk.admit(call);
    const { queue, jobId } = admitted;
    if (jobId === '' && request.method === 'GET') {
      return httpServer.jsonReply({ pending: await options.pending(queue.policy.queue) });
    }
    if (!JOB_ID.test(jobId)) {
      throw errors.fail('notFound', 'a job id must have 16 hexadecimal digits; nothing ran', {
        field: 'path',
      });
    }
    switch (request.method) {
      case 'POST':
        if (request.body.byteLength > options.maxBodyBytes()) {
          throw errors.fail('tooLarge', 'the body is too large; nothing ran', { field: 'body' });
        }
        await desk.submit(call, admitted, decodeDraft(request));
        options.onDidStore(jobId, poolKeys.JobPart.spec);
        return httpServer.jsonReply({});
      case 'GET':
        return httpServer.jsonReply({ state: await desk.state(call, admitted) });
      case 'DELETE':
        await desk.cancel(call, admitted);
        options.onDidStore(jobId, poolKeys.JobPart.cancel);
        return httpServer.jsonReply({});
      default:
        throw errors.fail(
          'invalidRequest',
          `method ${request.method} is not supported; nothing ran`,
        );
    }
  };

  return async (request) => {
    const startedAtMs = options.nowMs();
    const call: jobRequestHandler.Call = {
      requestId: options.newRequestId(),
      host: hostOf(request),
      path: request.path,
      apiKey: singleHeader(request.headers[KEY_HEADER]),
      deadlineMs: deadlineOf(request),
    };
    let reply: httpServer.ServerReply;
    let reason: string | undefined;
    try {
      reply = await handleCall(request, call);
    } catch (thrown) {
      reply = httpServer.errorReply(thrown);
      reason = errors.normalize(thrown).message;
    }
    const durationMs = options.nowMs() - startedAtMs;
    const { method } = request;
    const { status } = reply;
    options.metrics.time('auburnlift_call_ms', durationMs, { method, status: String(status) });
    options.log(status < 400 || status === 410 ? 'info' : 'warn', 'answered', {
      request: call.requestId,
      method,
      path: call.path,
      status,
      durationMs: Math.round(durationMs),
      reason,
    });
    return options.shouldCloseConnections()
      ? { ...reply, headers: { ...reply.headers, connection: 'close' } }
      : reply;
  };
};
