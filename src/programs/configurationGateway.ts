/**
 * What operators do with the configuration, as an entry does it: preview, write, history, status.
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
import type * as processKit from './processKit.js';

/** What the gateway needs. */
export interface ConfigurationGatewayOptions {
  readonly kit: processKit.ProcessKit;
  readonly store: store.Store;
  readonly sync: configurationSync.ConfigurationSync;
  readonly views: operatorViews.OperatorViews;
}

/** The part of the operators' gateway that is about the configuration. */
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
 * Load: 250 changes a day. Each look asks every entry for its agents, 670 lines in all at the target
 * size, so it is made twice a second and only until the change is everywhere or a minute has passed.
 */
const FOLLOW_PERIOD_MS = 500;
const FOLLOW_MS = 60_000;

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
 * @param options - what the gateway needs
 * @returns the gateway
 */
export const createConfigurationGateway = (
  options: ConfigurationGatewayOptions,
): ConfigurationGateway => {
  const { kit, store: target, sync, views } = options;
  const reached = new Map<number, number>();
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  const inForce = (): configuration.ConfigurationRecord => {
    const record = kit.configuration.current();
    if (record !== undefined) return record;
    throw errors.fail('storeUnavailable', 'no configuration is in force yet; nothing ran', {
      retryAfterMs: RETRY_MS,
    });
  };
  const effectsOf = async (
    document: configuration.ConfigurationDocument,
  ): Promise<readonly configurationDifference.ChangeEffect[]> => {
    const { jobs, unansweredCells } = await views.jobs();
    const before = kit.configuration.current()?.document;
    return configurationDifference.findEffects(before, document, jobs, unansweredCells);
  };
  const stragglersOf = async (version: number) => {
    const processes = await views.versions();
    const stragglers = processes
      .filter((it) => (it.version ?? configuration.NO_VERSION) < version)
      .map((it) => it.processId);
    return { processes, stragglers };
  };
  const noteInForce = (version: number, durationMs: number): void => {
    reached.clear();
    reached.set(version, durationMs);
    kit.metrics.time('auburnlift_configuration_in_force_ms', durationMs);
    kit.log('info', 'configurationInForce', { version, durationMs: Math.round(durationMs) });
  };
  /** Looks again and again after a write, so that the time until it is in force is known. */
  const followUntilInForce = (record: configuration.ConfigurationRecord, sinceMs: number): void => {
    const { version } = record;
    const look = async (): Promise<void> => {
      if (isDisposed || reached.has(version) || kit.configuration.version() !== version) return;
      const { stragglers } = await stragglersOf(version);
      const durationMs = kit.clock.monotonicMs() - sinceMs;
      if (stragglers.length === 0 && !reached.has(version)) noteInForce(version, durationMs);
      else if (durationMs < FOLLOW_MS) schedule();
    };
    const schedule = (): void => {
      timer = kit.clock.after(FOLLOW_PERIOD_MS, () => {
        void look();
      });
    };
    void timer?.dispose();
    schedule();
  };
  kit.owned.add({
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  });
  return {
    configuration: () => kit.configuration.current(),
    writeConfiguration: async (change) => {
      const { isStrandingAccepted, ...wanted } = change;
      configurationChecks.assertDocument(wanted.document);
      // A peer may have a version that a restored store has lost.
      await sync.askPeers();
      if (!isStrandingAccepted) assertConsent(await effectsOf(wanted.document));
      const known = kit.configuration.current();
      const nowMs = kit.clock.wallMs();
      const record = await configurationStore.writeConfiguration(target, wanted, nowMs, known);
      kit.configuration.offer(record);
      followUntilInForce(record, kit.clock.monotonicMs());
      kit.log('info', 'configurationWritten', {
        version: record.version,
        author: record.author,
        writeId: record.writeId,
      });
      return record;
    },
    previewConfiguration: async (baseVersion, document) => {
      configurationChecks.assertDocument(document);
      const before = kit.configuration.current()?.document;
      const changes = configurationDifference.compareDocuments(before, document);
      return { baseVersion, changes, effects: await effectsOf(document) };
    },
    history: async () =>
      (await configurationHistory.listVersions(target, inForce())).map(summarize),
    historyVersion: async (version) => {
      const current = inForce();
      if (current.version === version) return current;
      const record = await configurationHistory.readArchived(target, version);
      if (record !== undefined) return record;
      throw errors.fail('notFound', `no version ${version} in the history`, { field: 'version' });
    },
    status: async () => {
      const { version, writtenAtMs } = inForce();
      const { processes, stragglers } = await stragglersOf(version);
      const inForceAfterMs = reached.get(version);
      const warnings = sync.warnings();
      return { version, writtenAtMs, processes, stragglers, inForceAfterMs, warnings };
    },
  };
};
