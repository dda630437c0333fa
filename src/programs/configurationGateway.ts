/**
 * Operators' operations on the configuration, executed by an entry: preview, write, history, status.
 */
import type * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import * as configurationHistory from '../coordination/node/configurationHistory.js';
import * as configurationStore from '../coordination/node/configurationStore.js';
import type * as configurationSync from '../coordination/node/configurationSync.js';
import * as configuration from '../state/common/configuration.js';
import * as configurationChecks from '../state/common/configurationChecks.js';
import * as configurationDifference from '../state/common/configurationDifference.js';
import type * as store from '../state/common/store.js';
import type * as operatorGateway from '../transport/node/operatorGateway.js';

import type * as operatorViews from './operatorViews.js';
import type * as processContext from './processContext.js';

/** Dependencies of the gateway. */
export interface ConfigurationGatewayOptions {
  readonly ctx: processContext.ProcessContext;
  readonly store: store.Store;
  readonly sync: configurationSync.ConfigurationSync;
  readonly views: operatorViews.OperatorViews;
}

/** The configuration operations of the operators' gateway. */
export type ConfigurationGateway = Pick<
  operatorGateway.OperatorGateway,
  | 'configuration'
  | 'writeConfiguration'
  | 'previewConfiguration'
  | 'history'
  | 'historyVersion'
  | 'status'
>;

const RETRY_MS = 1000;

/**
 * Load: 250 changes a day. Each poll asks every entry for its agents, 670 lines in all at the target
 * size, so it runs twice a second and only until all processes have the change or a minute has passed.
 */
const POLL_PERIOD_MS = 500;
const MAX_POLL_MS = 60_000;

const summarize = (record: configuration.ConfigurationRecord): operatorGateway.VersionSummary => {
  const { document: _, ...rest } = record;
  return rest;
};

const assertConsent = (effects: readonly configurationDifference.ChangeEffect[]): void => {
  const stranded = effects.filter((it) => it.level === configurationDifference.EffectLevel.strands);
  if (stranded.length === 0) return;
  const text = stranded.map((it) => it.text).join('; ');
  throw errors.fail('conflict', `nothing was written without your consent: ${text}`, {
    field: 'isStrandingAccepted',
    facts: { effects },
  });
};

/**
 * @param options - dependencies of the gateway
 * @returns the gateway
 */
export const createConfigurationGateway = (
  options: ConfigurationGatewayOptions,
): ConfigurationGateway => {
  const { ctx, store: target, sync, views } = options;
  const activeMs = new Map<number, number>();
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  const requireActive = (): configuration.ConfigurationRecord => {
    const record = ctx.configuration.current();
    if (record !== undefined) return record;
    throw errors.fail('storeUnavailable', 'no configuration is in force yet; nothing ran', {
      retryAfterMs: RETRY_MS,
    });
  };
  const effectsOf = async (
    document: configuration.ConfigurationDocument,
  ): Promise<readonly configurationDifference.ChangeEffect[]> => {
    const { jobs, unansweredCells } = await views.jobs();
    const before = ctx.configuration.current()?.document;
    return configurationDifference.findEffects(before, document, jobs, unansweredCells);
  };
  const findOutdated = async (version: number) => {
    const processes = await views.versions();
    const stragglers = processes
      .filter((it) => (it.version ?? configuration.NO_VERSION) < version)
      .map((it) => it.processId);
    return { processes, stragglers };
  };
  const recordActive = (version: number, durationMs: number): void => {
    activeMs.clear();
    activeMs.set(version, durationMs);
    ctx.metrics.time('auburnlift_configuration_in_force_ms', durationMs);
    ctx.log('info', 'configurationInForce', { version, durationMs: Math.round(durationMs) });
  };
  /** Polls after a write to measure the time until it is active on all processes. */
  const pollUntilActive = (record: configuration.ConfigurationRecord, sinceMs: number): void => {
    const { version } = record;
    const poll = async (): Promise<void> => {
      if (isDisposed || activeMs.has(version) || ctx.configuration.version() !== version) return;
      const { stragglers } = await findOutdated(version);
      const durationMs = ctx.clock.monotonicMs() - sinceMs;
      if (stragglers.length === 0 && !activeMs.has(version)) recordActive(version, durationMs);
      else if (durationMs < MAX_POLL_MS) schedule();
    };
    const schedule = (): void => {
      timer = ctx.clock.after(POLL_PERIOD_MS, () => {
        void poll();
      });
    };
    void timer?.dispose();
    schedule();
  };
  ctx.owned.add({
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  });
  return {
    configuration: () => ctx.configuration.current(),
    writeConfiguration: async (change) => {
      const { isStrandingAccepted, ...wanted } = change;
      configurationChecks.assertDocument(wanted.document);
      // A peer may have a version that is missing from a restored store.
      await sync.askPeers();
      if (!isStrandingAccepted) assertConsent(await effectsOf(wanted.document));
      const known = ctx.configuration.current();
      const nowMs = ctx.clock.wallMs();
      const record = await configurationStore.writeConfiguration(target, wanted, nowMs, known);
      ctx.configuration.offer(record);
      pollUntilActive(record, ctx.clock.monotonicMs());
      ctx.log('info', 'configurationWritten', {
        version: record.version,
        author: record.author,
        writeId: record.writeId,
      });
      return record;
    },
    previewConfiguration: async (baseVersion, document) => {
      configurationChecks.assertDocument(document);
      const before = ctx.configuration.current()?.document;
      const changes = configurationDifference.compareDocuments(before, document);
      return { baseVersion, changes, effects: await effectsOf(document) };
    },
    history: async () =>
      (await configurationHistory.listVersions(target, requireActive())).map(summarize),
    historyVersion: async (version) => {
      const current = requireActive();
      if (current.version === version) return current;
      const record = await configurationHistory.readArchived(target, version);
      if (record !== undefined) return record;
      throw errors.fail('notFound', `no version ${version} in the history`, { field: 'version' });
    },
    status: async () => {
      const { version, writtenAtMs } = requireActive();
      const { processes, stragglers } = await findOutdated(version);
      const inForceAfterMs = activeMs.get(version);
      const warnings = sync.warnings();
      return { version, writtenAtMs, processes, stragglers, inForceAfterMs, warnings };
    },
  };
};
