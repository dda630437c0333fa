/**
 * Connections of an agent: registration with the entries of its region, reports to its cell's leader,
 * and fetches of the configuration.
 */
import type * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import * as random from '../base/common/random.js';
import type * as agentRuntime from '../coordination/node/agentRuntime.js';
import type * as agentEntryMessages from '../protocol/common/agentEntryMessages.js';
import type * as requestHost from '../protocol/node/requestHost.js';
import type * as settingsSchema from '../state/common/settings.js';
import type * as worker from '../state/common/worker.js';

import * as entryPresence from './entryPresence.js';
import type * as processContext from './processContext.js';

/** Address and epoch of the cell's leader. */
export interface LeaderHint {
  readonly url: string;
  readonly epoch: number;
}

/** Dependencies of the links. */
export interface AgentLinksOptions {
  readonly ctx: processContext.ProcessContext;
  readonly settings: settingsSchema.AgentSettings;
  readonly bootId: string;
  readonly host: requestHost.RequestHost;
  readonly worker: () => worker.WorkerInfo | undefined;
  readonly isLeaving: () => boolean;
  readonly acceptedEpoch: () => number;
}

/** The links of one agent. */
export interface AgentLinks {
  readonly report: (report: agentRuntime.OutgoingReport) => Promise<agentRuntime.ReportAnswer>;
  /** Records the leader; one of a lower epoch is ignored. */
  readonly recordLeader: (leader: LeaderHint) => void;
  /** Fetches the configuration if the version is higher than the active one. */
  readonly recordVersion: (version: number) => void;
  readonly registerSoon: () => void;
  /** State of the upstream as sent in registrations. */
  readonly upstreamState: () => agentEntryMessages.UpstreamState | undefined;
  readonly registerNow: () => Promise<void>;
  readonly start: (url: string, firstAfterMs: number) => disposable.Disposable;
}

/** Registration period until an entry sends another one. */
const FIRST_PERIOD_MS = 2000;

/** Jitter of registrations, as a share of their period. */
const PERIOD_SPREAD = 0.2;

/** Minimum registration period; also the minimum age of the last one before a failed report triggers another. */
const MIN_PERIOD_MS = 2000;

/** Maximum number of entries stored for the region. */
const MAX_ENTRIES = 16;

/**
 * @param options - dependencies of the links
 * @returns links that are not started
 */
export const createAgentLinks = (options: AgentLinksOptions): AgentLinks => {
  const { ctx, settings, host } = options;
  let entryUrls: readonly string[] = settings.entryUrls;
  let leader: LeaderHint | undefined;
  let ownUrl = '';
  let timer: disposable.Disposable | undefined;
  let isStopped = false;
  let fetching: Promise<void> | undefined;
  let registeredAtMs = 0;
  let periodMs = FIRST_PERIOD_MS;

  const upstreamState = (): agentEntryMessages.UpstreamState | undefined => {
    const announced = host.upstream();
    if (announced === undefined) return undefined;
    const { upstreamId, slots, connections } = announced;
    return { upstreamId, slots, connections, ...host.load() };
  };
  const registration = (): agentEntryMessages.RegisterRequest => {
    const upstream = upstreamState();
    return {
      from: ctx.sender(),
      bootId: options.bootId,
      clockMs: host.clockMs(),
      url: ownUrl,
      zone: settings.zone,
      region: settings.region,
      ...(upstream === undefined ? {} : { upstream }),
      isLeaving: options.isLeaving(),
    };
  };
  const noteLeader = (next: LeaderHint): void => {
    if (next.epoch >= (leader?.epoch ?? 0)) leader = next;
  };
  const fetchConfiguration = async (firstUrl: string | undefined): Promise<void> => {
    for (const url of firstUrl === undefined ? entryUrls : [firstUrl, ...entryUrls]) {
      try {
        const { record } = await ctx.clients.entry(url).configuration({ from: ctx.sender() });
        if (record !== undefined) ctx.configuration.offer(record);
        return;
      } catch (thrown) {
        ctx.log('debug', 'configurationNotFetched', {
          url,
          reason: errors.normalize(thrown).message,
        });
      }
    }
  };
  /** Runs one fetch at a time; concurrent callers wait for the same one. */
  const catchUp = (version: number, url: string | undefined): Promise<void> => {
    if (version <= ctx.configuration.version()) return Promise.resolve();
    fetching ??= fetchConfiguration(url).finally(() => {
      fetching = undefined;
    });
    return fetching;
  };
  const noteVersion = (version: number): void => {
    void catchUp(version, undefined);
  };
  const registerWith = async (url: string): Promise<readonly string[]> => {
    try {
      const reply = await ctx.clients.entry(url).register(registration());
      noteVersion(reply.from.configVersion);
      if (reply.leader !== undefined) noteLeader(reply.leader);
      periodMs = Math.max(MIN_PERIOD_MS, reply.nextAfterMs);
      return reply.entryUrls;
    } catch (thrown) {
      ctx.log('debug', 'registerFailed', { url, reason: errors.normalize(thrown).message });
      return [];
    }
  };
  const registerNow = async (): Promise<void> => {
    registeredAtMs = ctx.clock.monotonicMs();
    const known = await Promise.all(entryUrls.map(registerWith));
    const found = [...new Set(known.flat())].slice(0, MAX_ENTRIES);
    if (found.length > 0) presence.watch(found);
    else periodMs = FIRST_PERIOD_MS;
    // If no entry answered, the next registration uses the addresses of the settings again.
    entryUrls = found.length > 0 ? found : settings.entryUrls;
  };
  const loop = (): void => {
    void registerNow().finally(() =>
      schedule(random.jitterMs(ctx.random, periodMs, PERIOD_SPREAD)),
    );
  };
  const schedule = (delayMs: number): void => {
    void timer?.dispose();
    if (!isStopped) timer = ctx.clock.after(delayMs, loop);
  };
  const presence = entryPresence.createPresenceWatch({
    clock: ctx.clock,
    random: ctx.random,
    call: ctx.http.call,
    note: () => ({ agentUrl: ownUrl, configVersion: ctx.configuration.version() }),
    onDidReceiveVersion: (url, version) => catchUp(version, url),
    onDidReturn: (url) => {
      void registerWith(url);
    },
  });
  /** Registers immediately, since entries may know a newer leader; rate-limited, so not on each failed report. */
  const refreshLeader = (): void => {
    if (ctx.clock.monotonicMs() - registeredAtMs >= MIN_PERIOD_MS) schedule(0);
  };
  return {
    recordLeader: noteLeader,
    recordVersion: noteVersion,
    registerNow,
    upstreamState,
    registerSoon: () => schedule(0),
    report: async (report) => {
      const info = options.worker();
      if (leader === undefined || info === undefined) {
        refreshLeader();
        throw errors.fail('notLeader', 'no leader of the cell is known');
      }
      const sent = ctx.clients.scheduler(leader.url).report({
        from: ctx.sender(),
        cell: settings.zone,
        bootId: options.bootId,
        worker: info,
        isLeaving: options.isLeaving(),
        ...report,
        tasks: [...report.tasks],
      });
      const reply = await sent.catch((thrown: unknown) => {
        refreshLeader();
        throw thrown;
      });
      noteVersion(reply.from.configVersion);
      return reply;
    },
    start: (url, firstAfterMs) => {
      ownUrl = url;
      void registerNow().finally(() => schedule(firstAfterMs));
      return {
        dispose: () => {
          isStopped = true;
          void timer?.dispose();
          void presence.dispose();
        },
      };
    },
  };
};
