/**
 * Decides which cells a scheduler leads: it claims cells without a leader, those of its own zone first, so
 * that cells are distributed over the schedulers and any scheduler can lead any cell.
 */
import type * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import * as liveEntries from '../coordination/common/liveEntries.js';
import * as cellLeader from '../coordination/node/cellLeader.js';
import * as jobStore from '../coordination/node/jobStore.js';
import * as leadership from '../coordination/node/leadership.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as settingsSchema from '../state/common/settings.js';
import type * as job from '../state/common/job.js';
import type * as store from '../state/common/store.js';

import type * as processContext from './processContext.js';

/** Dependencies of the claims. */
export interface CellClaimsOptions {
  readonly ctx: processContext.ProcessContext;
  readonly settings: settingsSchema.SchedulerSettings;
  readonly store: store.Store;
  readonly live: liveWatch.LiveWatch;
  /** Called after a job of a led cell has changed its state. */
  readonly onDidChangeJob?: (before: job.JobRecord, after: job.JobRecord) => void;
}

/** The cells of one scheduler. */
export interface CellClaims {
  readonly start: (url: string) => void;
  readonly leaderOf: (cell: string) => cellLeader.CellLeader | undefined;
  /** Writes all pending state and releases the cells to other schedulers. */
  readonly release: () => Promise<void>;
  /** Stops without releasing the leases, as a killed process does. */
  readonly abandon: () => Promise<void>;
}

interface Claim {
  readonly leadership: leadership.Leadership;
  readonly leader: cellLeader.CellLeader;
  isReady: boolean;
}

/** How often a scheduler looks for cells without a leader. */
const CLAIM_MS = 500;

/** Delay before a cell of another zone is claimed; its own schedulers come first. */
const OTHER_ZONE_DELAY_MS = 1500;

/** Additional delay for each cell already led, so that idle schedulers claim first. */
const LED_CELL_DELAY_MS = 500;

/**
 * @param options - dependencies of the claims
 * @returns claims that are not started
 */
export const createCellClaims = (options: CellClaimsOptions): CellClaims => {
  const { ctx, settings, live } = options;
  const claims = new Map<string, Claim>();
  const unledSinceMs = new Map<string, number>();
  let url = '';
  let timer: disposable.Disposable | undefined;
  let isStopped = false;

  const drop = async (cell: string, why: string): Promise<void> => {
    const claim = claims.get(cell);
    if (claim === undefined) return;
    claims.delete(cell);
    ctx.log('warn', 'cellDropped', { cell, epoch: claim.leadership.epoch, why });
    await claim.leader.dispose();
    await claim.leadership.lease.dispose();
  };
  const discoverAgents = async (cell: string): Promise<readonly string[]> => {
    const entries = liveEntries.processesOf(live.entries(), 'entry');
    const found = await Promise.all(
      entries.map(async (it) => {
        try {
          const request = { from: ctx.sender(), zone: cell };
          return (await ctx.clients.entry(it.url).agents(request)).agentUrls;
        } catch {
          return [];
        }
      }),
    );
    return [...new Set(found.flat())];
  };
  const createLeader = (cell: string, won: leadership.Leadership): cellLeader.CellLeader => {
    const { epoch } = won;
    return cellLeader.createCellLeader({
      cell,
      epoch,
      isLeaseHeld: won.lease.isHeld,
      store: options.store,
      jobStore: jobStore.createJobStore({ store: options.store, cell, epoch, newId: ctx.newId }),
      clock: ctx.clock,
      log: ctx.log,
      metrics: ctx.metrics,
      configuration: ctx.configuration,
      fence: async (agentUrl) => {
        const request = { from: ctx.sender(), cell, epoch, leaderUrl: url };
        const reply = await ctx.clients.agent(agentUrl).fence(request);
        return { ...reply, worker: reply.worker };
      },
      sendCommands: async (agentUrl, bootId, commands) => {
        const request = { from: ctx.sender(), cell, epoch, bootId, commands: [...commands] };
        return ctx.clients.agent(agentUrl).command(request);
      },
      discoverAgents: () => discoverAgents(cell),
      ...(options.onDidChangeJob === undefined ? {} : { onDidChangeJob: options.onDidChangeJob }),
      onLeadershipLost: () => {
        void drop(cell, 'another leader took it');
      },
    });
  };
  const claim = async (cell: string): Promise<void> => {
    const won = await leadership.tryAcquireLeadership({
      store: options.store,
      clock: ctx.clock,
      cell,
      leaderId: settings.processId,
      url,
      ttlMs: settings.leaseMs,
      newId: ctx.newId,
    });
    if (won === undefined) return;
    const held: Claim = {
      leadership: won,
      leader: createLeader(cell, won),
      isReady: false,
    };
    claims.set(cell, held);
    try {
      await held.leader.takeOver();
      held.isReady = true;
    } catch (thrown) {
      await drop(cell, errors.normalize(thrown).message);
    }
  };
  const claimDelayMs = (cell: string): number =>
    (cell === settings.zone ? 0 : OTHER_ZONE_DELAY_MS) + claims.size * LED_CELL_DELAY_MS;
  const isDue = (cell: string): boolean => {
    if (claims.has(cell) || liveEntries.isLed(live.entries(), cell)) {
      unledSinceMs.delete(cell);
      return false;
    }
    const nowMs = ctx.clock.monotonicMs();
    const sinceMs = unledSinceMs.get(cell) ?? nowMs;
    unledSinceMs.set(cell, sinceMs);
    return nowMs - sinceMs >= claimDelayMs(cell);
  };
  const claimDueCells = async (): Promise<void> => {
    for (const [cell, held] of [...claims]) {
      if (held.leadership.lease.isLost()) await drop(cell, 'its lease lapsed');
    }
    const cells = ctx.configuration.current()?.document.cells ?? [];
    if (!live.isConnected()) return;
    for (const { cell } of cells) {
      if (!isStopped && isDue(cell)) await claim(cell);
    }
  };
  const loop = (): void => {
    claimDueCells()
      .catch((thrown: unknown) => {
        ctx.log('warn', 'claimFailed', { reason: errors.normalize(thrown).message });
      })
      .finally(() => {
        if (!isStopped) timer = ctx.clock.after(CLAIM_MS, loop);
      })
      .catch(() => undefined);
  };
  const stop = (): void => {
    isStopped = true;
    void timer?.dispose();
  };
  return {
    start: (ownUrl) => {
      url = ownUrl;
      loop();
    },
    leaderOf: (cell) => {
      const held = claims.get(cell);
      return held?.isReady === true ? held.leader : undefined;
    },
    release: async () => {
      stop();
      for (const [cell, held] of [...claims]) {
        await held.leader.flush().catch(() => undefined);
        await drop(cell, 'the scheduler leaves');
      }
    },
    abandon: async () => {
      stop();
      for (const held of claims.values()) {
        held.leadership.lease.abandon();
        await held.leader.dispose();
      }
      claims.clear();
    },
  };
};
