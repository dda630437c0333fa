/**
 * HTTP API of an entry for clients: POST, GET and DELETE of a job, and the number of pending jobs of a queue.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import * as logLimit from '../base/common/logLimit.js';
import type * as logging from '../base/common/logging.js';
import type * as metrics from '../base/common/metrics.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import * as customerQuota from '../coordination/common/pool/customerQuota.js';
import type * as jobRequestHandler from '../coordination/node/pool/jobRequestHandler.js';
import type * as poolJob from '../state/common/pool/poolJob.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as requestBody from '../transport/node/requestBody.js';

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
  /** What one customer may use. */
  readonly quota: customerQuota.CustomerQuota;
  readonly maxRefusalLinesPerS: number;
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

const deadlineOf = (request: httpServer.RequestHead): number => {
  const given = Number(singleHeader(request.headers[DEADLINE_HEADER]));
  return Number.isFinite(given) && given > 0 ? given : DEFAULT_DEADLINE_MS;
};

/** Returns the host name without the port. */
const hostOf = (request: httpServer.RequestHead): string =>
  (request.headers.host ?? '').replace(/:\d+$/, '');

const METHODS: readonly string[] = ['GET', 'POST', 'DELETE'];

/** A client may name any of dozens of methods, and each would get histograms of its own. */
const methodLabel = (method: string): string => (METHODS.includes(method) ? method : 'other');

/** Longest path in a log line. */
const MAX_LOGGED_PATH = 200;

/** Lines about a customer's calls, for each line about a refusal of one kind. */
const LINES_PER_REFUSAL_LINE = 10;

/** A call whose customer is added once it is known. */
interface ObservedCall extends jobRequestHandler.Call {
  customerId: string;
}

/** The API, as a listener of HTTP takes it. */
export interface JobApi {
  readonly handler: httpServer.Handler;
  readonly listenerOptions: httpServer.ListenerOptions;
}

const checkMethod = (method: string): void => {
  if (METHODS.includes(method)) return;
  throw errors.fail('invalidRequest', `method ${method} is not supported; nothing ran`);
};

const checkJobId = (jobId: string): void => {
  if (JOB_ID.test(jobId)) return;
  throw errors.fail('notFound', 'a job id must have 16 hexadecimal digits; nothing ran', {
    field: 'path',
  });
};

const kindOf = (method: string): customerQuota.CallKind =>
  method === 'GET' ? customerQuota.CallKind.read : customerQuota.CallKind.write;

/**
 * @param options - what the API needs
 * @returns the API
 */
export const createJobApi = (options: JobApiOptions): JobApi => {
  const limitedLog = logLimit.createLogLimit(options.log, options.nowMs, () => {
    options.metrics.count('auburnlift_log_lines_left_out_total');
  });

  const handleJob = async (
    request: httpServer.ServerRequest,
    call: jobRequestHandler.Call,
    admitted: jobRequestHandler.AdmittedCall,
  ): Promise<httpServer.ServerReply> => {
    const { jobs: desk } = options;
    const { queue, jobId } = admitted;
    if (jobId === '' && request.method === 'GET') {
      return httpServer.jsonReply({ pending: await options.pending(queue.policy.queue) });
    }
    checkJobId(jobId);
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
      default:
        await desk.cancel(call, admitted);
        options.onDidStore(jobId, poolKeys.JobPart.cancel);
        return httpServer.jsonReply({});
    }
  };

  const handleCall = async (
    request: httpServer.ServerRequest,
    call: ObservedCall,
  ): Promise<httpServer.ServerReply> => {
    const admitted = options.jobs.admit(call);
    call.customerId = admitted.customerId;
    checkMethod(request.method);
    const end = options.quota.begin(admitted.customerId, kindOf(request.method));
    try {
      return await handleJob(request, call, admitted);
    } finally {
      end();
    }
  };

  /** Finds all that refuses a request without its body. */
  const checkHead = (head: httpServer.RequestHead, call: ObservedCall): void => {
    const { jobId, customerId } = options.jobs.admit(call);
    call.customerId = customerId;
    checkMethod(head.method);
    if (head.method !== 'POST') return;
    checkJobId(jobId);
    const maxBytes = options.maxBodyBytes();
    if (requestBody.announcedBytes(head) > maxBytes) throw requestBody.bodyTooLarge(maxBytes);
    options.jobs.checkStore();
  };

  const toCall = (head: httpServer.RequestHead): ObservedCall => ({
    requestId: options.newRequestId(),
    host: hostOf(head),
    path: head.path,
    apiKey: singleHeader(head.headers[KEY_HEADER]),
    deadlineMs: deadlineOf(head),
    customerId: '',
  });

  const withClose = (reply: httpServer.ServerReply): httpServer.ServerReply =>
    options.shouldCloseConnections()
      ? { ...reply, headers: { ...reply.headers, connection: 'close' } }
      : reply;

  const report = (
    method: string,
    call: ObservedCall,
    startedAtMs: number,
    status: number,
    reason?: string,
  ): void => {
    const durationMs = options.nowMs() - startedAtMs;
    const labels = { method: methodLabel(method), status: String(status) };
    options.metrics.time('auburnlift_call_ms', durationMs, labels);
    const isServed = status < 400;
    const maxPerS = options.maxRefusalLinesPerS * (isServed ? LINES_PER_REFUSAL_LINE : 1);
    const isExpected = isServed || status === 410;
    limitedLog(`${status} ${call.customerId}`, maxPerS, isExpected ? 'info' : 'warn', 'answered', {
      request: call.requestId,
      method,
      path: call.path.slice(0, MAX_LOGGED_PATH),
      status,
      durationMs: Math.round(durationMs),
      reason: reason?.slice(0, MAX_LOGGED_PATH * 2),
    });
  };

  const refuse = (
    method: string,
    call: ObservedCall,
    startedAtMs: number,
    thrown: unknown,
  ): httpServer.ServerReply => {
    const reply = httpServer.errorReply(thrown);
    report(method, call, startedAtMs, reply.status, errors.normalize(thrown).message);
    return withClose(reply);
  };

  const handler: httpServer.Handler = async (request) => {
    const startedAtMs = options.nowMs();
    const call = toCall(request);
    try {
      const reply = await handleCall(request, call);
      report(request.method, call, startedAtMs, reply.status);
      return withClose(reply);
    } catch (thrown) {
      return refuse(request.method, call, startedAtMs, thrown);
    }
  };

  const refuseHead = (head: httpServer.RequestHead): httpServer.ServerReply | undefined => {
    const startedAtMs = options.nowMs();
    const call = toCall(head);
    try {
      checkHead(head, call);
      return undefined;
    } catch (thrown) {
      return refuse(head.method, call, startedAtMs, thrown);
    }
  };

  return {
    handler,
    listenerOptions: {
      refuseHead,
      currentMaxBodyBytes: options.maxBodyBytes,
      deadlineMs: deadlineOf,
    },
  };
};
