/**
 * RPC clients for the other processes of the system, over the shared connection pool.
 */
import * as stream from 'node:stream';

import * as trpcClient from '@trpc/client';
import type * as trpcServer from '@trpc/server';

import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import * as memoize from '../../base/common/memoize.js';
import type * as agentRouter from '../../protocol/node/agentRouter.js';
import type * as entryRouter from '../../protocol/node/entryRouter.js';
import type * as poolRouters from '../../protocol/node/poolRouters.js';
import type * as schedulerRouter from '../../protocol/node/schedulerRouter.js';

/** Path prefix of the RPC router in every process. */
export const RPC_PATH = '/rpc';

/** Header with the secret shared by the system's processes. */
export const PEER_SECRET_HEADER = 'auburnlift-peer-secret';

/** The active configuration version of another process, as sent in its reply. */
export interface PeerVersion {
  readonly version: number;
  readonly url: string;
}

/** Options of the RPC clients. */
export interface RpcClientOptions {
  readonly call: http.HttpCall;
  readonly timeoutMs: number;
  /** Transfer limits for messages that may be long; see {@link http.HttpRequest}. */
  readonly transfer?: http.TransferLimits;
  /** Shared by the system's processes; never logged. */
  readonly peerSecret: string;
  /** Called with the configuration version in each reply and the URL of its sender. */
  readonly recordVersion?: (heard: PeerVersion) => void;
}

/** The options of a fetch request that tRPC sets. */
interface FetchInit {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

const fetchOver =
  (options: RpcClientOptions) =>
  async (input: unknown, init?: FetchInit): Promise<Response> => {
    const url = new URL(String(input));
    const reply = await options.call({
      address: { host: url.hostname, port: Number(url.port) },
      method: init?.method ?? 'GET',
      path: url.pathname + url.search,
      headers: {
        ...init?.headers,
        [PEER_SECRET_HEADER]: options.peerSecret,
      },
      body: Buffer.from(String(init?.body ?? '')),
      timeoutMs: options.timeoutMs,
      ...(options.transfer === undefined ? {} : { transfer: options.transfer }),
    });
    return {
      ok: reply.status < 300,
      status: reply.status,
      json: () => Promise.resolve(JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown),
      get body() {
        return stream.Readable.from([reply.body]);
      },
    } as unknown as Response;
  };

const errorBodyOf = (error: trpcClient.TRPCClientError<trpcServer.AnyTRPCRouter>): unknown =>
  (error.data as { body?: unknown } | null | undefined)?.body;

const toAuburnliftError = (thrown: unknown): errors.AuburnliftError => {
  if (thrown instanceof trpcClient.TRPCClientError) {
    const body = errorBodyOf(thrown);
    if (body !== undefined) return errors.fromBody(body);
    const { cause } = thrown;
    if (cause instanceof http.HttpCallError && cause.failure === http.HttpFailure.notSent) {
      return errors.fail('noUpstream', `nothing was sent: ${thrown.message}`);
    }
    return errors.fail('peerUnreachable', thrown.message);
  }
  return errors.normalize(thrown);
};

interface Answer {
  readonly from: { readonly configVersion: number };
}

const createWrapper =
  (options: RpcClientOptions, url: string) =>
  <TInput, TOutput extends Answer>(target: { mutate: (input: TInput) => Promise<TOutput> }) =>
  async (input: TInput): Promise<TOutput> => {
    try {
      const answer = await target.mutate(input);
      options.recordVersion?.({ version: answer.from.configVersion, url });
      return answer;
    } catch (thrown) {
      throw toAuburnliftError(thrown);
    }
  };

/** Link with complete replies, one call per request. */
const bufferedLink: (options: object) => trpcClient.TRPCLink<trpcServer.AnyTRPCRouter> = (
  options,
) => trpcClient.httpLink(options as Parameters<typeof trpcClient.httpLink>[0]);

/** Link with streamed replies: data is sent as it is ready. One call per request, so that no call waits for another. */
const streamingLink: typeof bufferedLink = (options) =>
  trpcClient.httpBatchStreamLink({ ...options, maxItems: 1 } as Parameters<
    typeof trpcClient.httpBatchStreamLink
  >[0]);

const create = <TRouter extends trpcServer.AnyTRPCRouter>(
  options: RpcClientOptions,
  url: string,
  toLink = bufferedLink,
): trpcClient.TRPCClient<TRouter> => {
  const link = toLink({ url: url + RPC_PATH, fetch: fetchOver(options) });
  return trpcClient.createTRPCClient<TRouter>({ links: [link as trpcClient.TRPCLink<TRouter>] });
};

const agentClient = (options: RpcClientOptions, url: string) => {
  const client = create<agentRouter.AgentRouter>(options, url);
  const wrap = createWrapper(options, url);
  return { fence: wrap(client.fence), command: wrap(client.command), drain: wrap(client.drain) };
};

const entryClient = (options: RpcClientOptions, url: string) => {
  const client = create<entryRouter.EntryRouter>(options, url);
  const wrap = createWrapper(options, url);
  return {
    register: wrap(client.register),
    configuration: wrap(client.configuration),
    agents: wrap(client.agents),
    overview: wrap(client.overview),
    version: wrap(client.version),
    directory: wrap(client.directory),
  };
};

const schedulerClient = (options: RpcClientOptions, url: string) => {
  const client = create<schedulerRouter.SchedulerRouter>(options, url);
  const wrap = createWrapper(options, url);
  return {
    report: wrap(client.report),
    submit: wrap(client.submit),
    cancel: wrap(client.cancel),
    show: wrap(client.show),
    cell: wrap(client.cell),
    quarantine: wrap(client.quarantine),
    configuration: wrap(client.configuration),
  };
};

const poolAgentClient = (options: RpcClientOptions, url: string) => {
  const client = create<poolRouters.PoolAgentRouter>(options, url);
  const wrap = createWrapper(options, url);
  return { sync: wrap(client.sync), order: wrap(client.order) };
};

const poolSchedulerClient = (options: RpcClientOptions, url: string) => {
  const client = create<poolRouters.PoolSchedulerRouter>(options, url);
  const wrap = createWrapper(options, url);
  return { pending: wrap(client.pending), jobChanged: wrap(client.jobChanged) };
};

const poolEntryClient = (options: RpcClientOptions, url: string) => {
  const client = create<poolRouters.PoolEntryRouter>(options, url);
  const streaming = create<poolRouters.PoolEntryRouter>(options, url, streamingLink);
  const wrap = createWrapper(options, url);
  return { relay: wrap(streaming.relay), configuration: wrap(client.configuration) };
};

/** Client of a pool entry, used by other entries. */
export type PoolEntryClient = ReturnType<typeof poolEntryClient>;

/** Client of a pool agent, used by the leader. */
export type PoolAgentClient = ReturnType<typeof poolAgentClient>;

/** Client of a pool scheduler, used by entries. */
export type PoolSchedulerClient = ReturnType<typeof poolSchedulerClient>;

/** Client of an agent. */
export type AgentClient = ReturnType<typeof agentClient>;

/** Client of an entry. */
export type EntryClient = ReturnType<typeof entryClient>;

/** Client of a scheduler. */
export type SchedulerClient = ReturnType<typeof schedulerClient>;

/** Client factories by URL. */
export interface RpcClients {
  readonly agent: (url: string) => AgentClient;
  readonly entry: (url: string) => EntryClient;
  readonly scheduler: (url: string) => SchedulerClient;
  readonly poolAgent: (url: string) => PoolAgentClient;
  readonly poolScheduler: (url: string) => PoolSchedulerClient;
  readonly poolEntry: (url: string) => PoolEntryClient;
}

/**
 * @param options - transport, limits and shared secret
 * @returns client factories; each client is created once per URL
 */
export const createRpcClients = (options: RpcClientOptions): RpcClients => ({
  agent: memoize.memoize((url) => agentClient(options, url)),
  entry: memoize.memoize((url) => entryClient(options, url)),
  scheduler: memoize.memoize((url) => schedulerClient(options, url)),
  poolAgent: memoize.memoize((url) => poolAgentClient(options, url)),
  poolScheduler: memoize.memoize((url) => poolSchedulerClient(options, url)),
  poolEntry: memoize.memoize((url) => poolEntryClient(options, url)),
});
