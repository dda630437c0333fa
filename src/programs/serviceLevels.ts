/**
 * Records a process's events in the service level counters: callers' requests in an entry, job starts in a
 * scheduler.
 */
import * as errors from '../base/common/errors.js';
import * as serviceLevelCounters from '../coordination/common/serviceLevelCounters.js';
import * as serviceLevelRecorder from '../coordination/node/serviceLevelRecorder.js';
import type * as configuration from '../state/common/configuration.js';
import type * as job from '../state/common/job.js';
import type * as store from '../state/common/store.js';
import * as callObserver from '../transport/node/callObserver.js';
import type * as httpServer from '../transport/node/httpServer.js';

import type * as processContext from './processContext.js';

/** The service level counters of one process. */
export interface ServiceLevels {
  /** Wraps the callers' API so that each request to an upstream is evaluated. */
  readonly observeCalls: (handler: httpServer.Handler) => httpServer.Handler;
  readonly recordJob: (before: job.JobRecord, after: job.JobRecord) => void;
  /** Writes the counters; a failed write is only logged. */
  readonly flush: () => Promise<void>;
}

/**
 * @param ctx - shared services of the process
 * @param target - the store
 * @returns the counters, owned by the process
 */
export const startServiceLevels = (
  ctx: processContext.ProcessContext,
  target: store.Store,
): ServiceLevels => {
  const recorder = ctx.owned.add(
    serviceLevelRecorder.createServiceLevelRecorder({
      writerId: `${ctx.sender().processId}.${ctx.newId()}`,
      store: target,
      clock: ctx.clock,
      log: ctx.log,
    }),
  );
  const objectives = (): readonly configuration.Objective[] =>
    ctx.configuration.current()?.document.objectives ?? [];
  return {
    observeCalls: (handler) =>
      callObserver.observeCalls(handler, ctx.clock, (end) => {
        recorder.note(serviceLevelCounters.evaluateRequest(objectives(), end));
      }),
    recordJob: (before, after) => {
      const nowMs = ctx.clock.wallMs();
      recorder.note(serviceLevelCounters.evaluateStart(objectives(), before, after, nowMs));
    },
    flush: async () => {
      try {
        await recorder.flush();
      } catch (thrown) {
        const reason = errors.normalize(thrown).message;
        ctx.log('warn', 'serviceLevelsNotWritten', { reason });
      }
    },
  };
};
