/**
 * Configuration versions on the messages of entries and schedulers: the older side catches up.
 */
import * as errors from '../base/common/errors.js';
import * as configurationSync from '../coordination/node/configurationSync.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as envelope from '../protocol/common/envelope.js';
import type * as store from '../state/common/store.js';

import type * as processKit from './processKit.js';

/**
 * @param kit - parts of the process
 * @param target - the store
 * @param live - the live prefix
 * @param peerUrls - peers of the settings
 * @returns the configuration's way into the process, owned by it
 */
export const startSync = (
  kit: processKit.ProcessKit,
  target: store.Store,
  live: liveWatch.LiveWatch,
  peerUrls: readonly string[] = [],
): configurationSync.ConfigurationSync => {
  const sync = kit.owned.add(
    configurationSync.startConfigurationSync({
      holder: kit.configuration,
      store: target,
      live,
      clock: kit.clock,
      log: kit.log,
      metrics: kit.metrics,
      settingsPeerUrls: peerUrls,
      // Entries, schedulers and agents answer this question alike.
      fetch: async (url) => {
        const { record } = await kit.clients.entry(url).configuration({ from: kit.sender() });
        return record;
      },
    }),
  );
  kit.owned.add(kit.onDidHearVersion(({ version, url }) => sync.noteVersion(version, url)));
  return sync;
};

interface Message {
  readonly from: envelope.Sender;
  /** Where the sender answers, in messages that say so. */
  readonly url?: string;
}

type Handlers<T> = {
  readonly [K in keyof T]: (request: never) => Promise<Message>;
};

/**
 * @param service - handlers of a router
 * @param sync - the configuration's way
 * @param strict - handlers that decide by the configuration and may not act on an older one; the
 *   others only begin to catch up, since a heartbeat that waits would cost leases
 * @returns handlers that learn of the versions of their callers
 */
export const withVersions = <T extends Handlers<T>>(
  service: T,
  sync: configurationSync.ConfigurationSync,
  strict: readonly (keyof T)[],
): T => {
  const wrap =
    (name: keyof T, handle: (request: never) => Promise<Message>) =>
    async (request: Message): Promise<Message> => {
      const version = request.from.configVersion;
      if (!strict.includes(name)) {
        sync.noteVersion(version, request.url);
      } else if (!(await sync.catchUp(version, request.url))) {
        throw errors.fail(
          'staleConfiguration',
          `version ${version} of the configuration is not here yet; nothing ran`,
          { retryAfterMs: 500 },
        );
      }
      return handle(request as never);
    };
  const entries = Object.entries(service) as [
    keyof T & string,
    (request: never) => Promise<Message>,
  ][];
  return Object.fromEntries(
    entries.map(([name, handle]) => [name, wrap(name, handle)]),
  ) as unknown as T;
};
