/**
 * Connects a program to the platform's store and watches the live records in it.
 */
import * as liveWatch from '../coordination/node/liveWatch.js';
import type * as store from '../state/common/store.js';
import * as httpStore from '../state/node/httpStore.js';

import type * as processContext from './processContext.js';

/** Settings of the connection to the store. */
export interface StoreSettings {
  readonly storeUrl: string;
  readonly storeTimeoutMs: number;
}

/** The store and the watch over its live prefix, owned by the program. */
export interface StoreLinks {
  readonly store: store.Store;
  readonly live: liveWatch.LiveWatch;
}

/** Duration of one watch call. An open watch counts as a call of the store even while nothing changes. */
const WATCH_MS = 10_000;

/** Period of full lists: the longest time for which a watch that stopped reporting can hide a change. */
const LIST_MS = 5000;

const RETRY_MS = 500;

/**
 * @param ctx - parts of the process
 * @param settings - address and timeout of the store
 * @returns the store and the watch, already running
 */
export const connectStore = (
  ctx: processContext.ProcessContext,
  settings: StoreSettings,
): StoreLinks => {
  const target = httpStore.createHttpStore({
    url: settings.storeUrl,
    timeoutMs: settings.storeTimeoutMs,
    call: ctx.http.call,
    metrics: ctx.metrics,
  });
  const live = ctx.owned.add(
    liveWatch.startLiveWatch({
      store: target,
      clock: ctx.clock,
      log: ctx.log,
      watchMs: WATCH_MS,
      listMs: LIST_MS,
      retryMs: RETRY_MS,
    }),
  );
  return { store: target, live };
};
