/**
 * What operators do with the configuration, as an entry does it: preview, write, history, status.
 */
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
    return configurationDifference.effectsOf(before, document, jobs, unansweredCells);
  };
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
      const processes = await views.versions();
      const stragglers = processes
        .filter((it) => (it.version ?? configuration.NO_VERSION) < version)
        .map((it) => it.processId);
      if (stragglers.length === 0 && !reached.has(version)) {
        reached.clear();
        reached.set(version, Math.max(0, kit.clock.wallMs() - writtenAtMs));
      }
      const inForceAfterMs = reached.get(version);
      const warnings = sync.warnings();
      return { version, writtenAtMs, processes, stragglers, inForceAfterMs, warnings };
    },
  };
};
