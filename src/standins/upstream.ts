/**
 * A stand-in for an upstream: announces itself, serves requests and leaves, injects the faults that
 * the contract allows and records the requests that it executed.
 */
import type * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import type * as upstreamContract from '../state/common/upstreamContract.js';
import * as httpServer from '../transport/node/httpServer.js';

/** Fault switches; initially all off. */
export interface UpstreamFaults {
  /** Added to the service time of each request. */
  delayMs: number;
  /** This many of the next requests are executed, but get no answer. */
  loseAnswers: number;
}

/** Options of the stand-in. */
export interface UpstreamOptions {
  readonly upstreamId: string;
  readonly slots: number;
  readonly connections: number;
  /** Address of the agent on its VM. */
  readonly agentUrl: string;
  readonly serviceMs: number;
  readonly clock: clock.Clock;
  readonly call: http.HttpCall;
}

/** The stand-in with its fault switches and recorded executions. */
export interface Upstream extends disposable.Disposable {
  readonly faults: UpstreamFaults;
  /** Executions by request id. */
  readonly executions: () => ReadonlyMap<string, number>;
  /** Peak number of concurrent requests. */
  readonly peak: () => number;
  /** Announces that it is leaving, and continues to serve requests. */
  readonly leave: () => void;
}

/** Interval between announcements. */
const ANNOUNCE_MS = 1000;

const MAX_BODY_BYTES = 8_388_608;

/**
 * @param options - options of the stand-in
 * @returns the upstream, listening on loopback and announced
 */
export const startUpstream = async (options: UpstreamOptions): Promise<Upstream> => {
  const { clock: timeSource } = options;
  const faults: UpstreamFaults = { delayMs: 0, loseAnswers: 0 };
  const executions = new Map<string, number>();
  let active = 0;
  let peak = 0;
  let isLeaving = false;
  let timer: disposable.Disposable | undefined;

  const work = async (durationMs: number): Promise<void> => {
    active += 1;
    peak = Math.max(peak, active);
    await new Promise<void>((resolve) => {
      timeSource.after(durationMs, resolve);
    });
    active -= 1;
  };
  const handler: httpServer.Handler = async (request) => {
    const requestId = String(request.headers['request-id'] ?? '');
    executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
    await work(options.serviceMs + faults.delayMs);
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      return new Promise<never>(() => {});
    }
    return httpServer.jsonReply({
      requestId,
      upstreamId: options.upstreamId,
      receivedBytes: request.body.byteLength,
      echo: Buffer.from(request.body).toString('utf8'),
    });
  };
  const server = await httpServer.listen(
    {
      host: '127.0.0.1',
      port: 0,
      maxBodyBytes: MAX_BODY_BYTES,
      maxConnections: options.connections,
    },
    httpServer.toListener(handler, MAX_BODY_BYTES),
  );
  const announcement = (): upstreamContract.Announcement => ({
    upstreamId: options.upstreamId,
    url: http.formatAddress(server.address),
    slots: options.slots,
    connections: options.connections,
    isLeaving,
  });
  const announce = async (): Promise<void> => {
    try {
      await options.call({
        address: http.parseAddress(options.agentUrl),
        method: 'POST',
        path: '/announce',
        headers: { 'content-type': 'application/json' },
        body: Buffer.from(JSON.stringify(announcement())),
        timeoutMs: ANNOUNCE_MS,
      });
    } catch {
      // The agent may not be up yet; the announcement is repeated.
    }
  };
  const loop = (): void => {
    void announce();
    timer = timeSource.after(ANNOUNCE_MS, loop);
  };
  loop();
  return {
    faults,
    executions: () => executions,
    peak: () => peak,
    leave: () => {
      isLeaving = true;
      void announce();
    },
    dispose: async () => {
      void timer?.dispose();
      await server.dispose();
    },
  };
};
