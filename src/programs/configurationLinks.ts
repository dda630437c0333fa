/**
 * Compares the configuration versions in messages of entries and schedulers; the older side fetches the newer one.
 */
import * as errors from '../base/common/errors.js';
import * as configurationSync from '../coordination/node/configurationSync.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as envelope from '../protocol/common/envelope.js';
import type * as store from '../state/common/store.js';

import type * as processContext from './processContext.js';

/**
 * @param ctx - shared services of the process
 * @param target - the store
 * @param live - watch of the live prefix
 * @param peerUrls - peers named in the settings
 * @returns the running configuration sync, owned by the process
 */
export const startSync = (
  ctx: processContext.ProcessContext,
  target: store.Store,
  live: liveWatch.LiveWatch,
  peerUrls: readonly string[] = [],
): configurationSync.ConfigurationSync => {
  const sync = ctx.owned.add(
    configurationSync.startConfigurationSync({
      holder: ctx.configuration,
      store: target,
      live,
      clock: ctx.clock,
      log: ctx.log,
      metrics: ctx.metrics,
      settingsPeerUrls: peerUrls,
      // Entries, schedulers and agents implement this call alike.
      fetch: async (url) => {
        const { record } = await ctx.clients.entry(url).configuration({ from: ctx.sender() });
        return record;
      },
    }),
  );
  ctx.owned.add(ctx.onDidReceiveVersion(({ version, url }) => sync.noteVersion(version, url)));
  return sync;
};

interface Message {
  readonly from: envelope.Sender;
  /** Address of the sender, in messages that carry it. */
  readonly url?: string;
}

type Handlers<T> = {
  readonly [K in keyof T]: (request: never) => Promise<Message>;
};

/**
 * @param service - handlers of a router
 * @param sync - the configuration sync
 * @param strict - handlers that must not act on a configuration older than the caller's; the others
 *   only start a fetch, since a delayed heartbeat would lose leases
 * @returns handlers that check the configuration version of each request first
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
          `configuration version ${version} could not be fetched yet; nothing ran`,
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
