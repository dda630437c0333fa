/**
 * Mechanisms of planning that an ablation takes out of the built code.
 */

/** Folder of the planning code in the build. */
export const POOL = 'coordination/common/pool';

/** Each mechanism: its name, the built file, the code to replace and its replacement. */
export const MECHANISMS = [
  [
    'expected work from observed runtimes',
    `${POOL}/runtimeEstimates.js`,
    'summary === undefined ||',
    'true ||',
  ],
  [
    'objective that counts waves of tasks',
    `${POOL}/readyQueue.js`,
    'jobChain.longestChainInWavesMs(job, workOf, slotsOf)',
    'jobChain.longestChainMs(job, workOf)',
  ],
  [
    'claims wait for runs that end by themselves',
    `${POOL}/planRound.js`,
    'const MAX_DEFERRED_MS = 1500',
    'const MAX_DEFERRED_MS = -1',
  ],
  [
    'worker headroom for claims',
    `${POOL}/claimHeadroom.js`,
    'const HEADROOM_SHARE = 0.25',
    'const HEADROOM_SHARE = 0',
  ],
  [
    'speeds of workers',
    `${POOL}/speed/workerSpeeds.js`,
    'areUnequal ? factorOf(estimate) : 1',
    '1',
  ],
  ['reservations', `${POOL}/planRound.js`, 'reservations < reservationLimit', 'false'],
  [
    'deprioritizing units without value to the caller',
    `${POOL}/planRound.js`,
    'const MAX_DEPRIORITIZED_MS = 30_000',
    'const MAX_DEPRIORITIZED_MS = 0',
  ],
  [
    'late units after units that can be in time',
    `${POOL}/planRound.js`,
    'const LATE_RANK = 0.5',
    'const LATE_RANK = 0',
  ],
  [
    'order by latest start',
    `${POOL}/planRound.js`,
    '|| a.latestStartMs - b.latestStartMs',
    '|| a.countedFromMs - b.countedFromMs',
  ],
  [
    'limit on preemptions per job',
    `${POOL}/planRound.js`,
    'const MAX_PREEMPTIONS = 2',
    'const MAX_PREEMPTIONS = 1000',
  ],
  [
    'preemption beyond guarantees',
    `${POOL}/planRound.js`,
    'const MAX_LOSS_SHARE = 1',
    'const MAX_LOSS_SHARE = -1',
  ],
  [
    'limit on work lost to preemption',
    `${POOL}/planRound.js`,
    'const MAX_LOSS_SHARE = 1',
    'const MAX_LOSS_SHARE = 1e9',
  ],
  [
    'remote placement by expected wait for local capacity',
    `${POOL}/localityChoice.js`,
    'return future === undefined ||',
    'return false &&',
  ],
  [
    'workers with the least leftover capacity first',
    `${POOL}/gangPlacement.js`,
    'a.left - b.left',
    '0',
  ],
  [
    'straggler detection',
    `${POOL}/stragglers.js`,
    'runPace.isStraggler(run.pace, speedFactorOf(worker))',
    'false',
  ],
  [
    'suspicion of workers',
    `${POOL}/workerSuspicion.js`,
    /export const isSuspect = \(([^)]*)\) =>/,
    'export const isSuspect = ($1) => false &&',
  ],
  [
    'low preemption cost of checkpointing steps',
    `${POOL}/planWorker.js`,
    'step.isCheckpointing ? Math.min(restoreMs, heldMs) : heldMs',
    'heldMs',
  ],
];
