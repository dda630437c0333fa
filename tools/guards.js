/**
 * Removes each guard from the built code, one at a time, and expects a test to fail: a guard whose removal
 * fails no test may be lost unnoticed in a later change. Run after a build: `npm run guards`.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const NODE_POOL = 'coordination/node/pool';
const COMMON_POOL = 'coordination/common/pool';

const TESTS = [
  'standins/test/poolFaults.test.js',
  'standins/test/poolLateOrders.test.js',
  'standins/test/poolOrderRetries.test.js',
  'standins/test/poolDepartures.test.js',
  'standins/test/poolDrains.test.js',
  'standins/test/poolEvacuations.test.js',
  'standins/test/poolEvacuationEffects.test.js',
  'standins/test/poolAgentStarts.test.js',
  'standins/test/poolCrashingTasks.test.js',
  'standins/test/poolCrashExploration.test.js',
  'standins/test/poolAgentIncarnations.test.js',
  'standins/test/poolLeaderFaults.test.js',
  'standins/test/poolCancelFaults.test.js',
  'standins/test/poolLostWatches.test.js',
  'standins/test/leasedRecord.test.js',
  'standins/test/poolParts.test.js',
  'standins/test/jobRequestHandler.test.js',
  'standins/test/storeRelay.test.js',
  'standins/test/configurationFeed.test.js',
  'standins/test/configurationShare.test.js',
  'standins/test/pendingCounts.test.js',
  'standins/test/longAnswers.test.js',
  'transport/node/test/answerTimeout.test.js',
  'transport/node/test/connections.test.js',
  'standins/test/poolExploration.test.js',
  `${COMMON_POOL}/test/jobState.test.js`,
  `${COMMON_POOL}/test/openStarts.test.js`,
  `${COMMON_POOL}/test/crashAttribution.test.js`,
  `${COMMON_POOL}/test/incarnationHistory.test.js`,
  `${COMMON_POOL}/test/isolation.test.js`,
  `${COMMON_POOL}/test/widespreadCrash.test.js`,
  `${COMMON_POOL}/test/jobTransitions.test.js`,
  `${COMMON_POOL}/test/poolGuards.test.js`,
  `${COMMON_POOL}/test/planRound.test.js`,
  `${COMMON_POOL}/test/progressBatch.test.js`,
  `${COMMON_POOL}/test/runProgress.test.js`,
  `${COMMON_POOL}/test/workerTable.test.js`,
  'programs/test/relayRpc.test.js',
  'platform/test/platformStore.test.js',
  'platform/test/workerClient.test.js',
];

/** Each guard: the property it protects, the built file, the code to replace and its replacement. */
const GUARDS = [
  [
    'a write that the store may have executed is not sent again through a relay',
    `${NODE_POOL}/storeRelay.js`,
    'const isSafe = isRead(request) ||',
    'const isSafe = true ||',
  ],
  [
    'a write whose outcome at one relay is unknown is not sent to another relay',
    `${NODE_POOL}/storeRelay.js`,
    'if (!isRead(request) && !isFailure(thrown, http.HttpFailure.notSent))',
    'if (false)',
  ],
  [
    'the response timeout is extended while the response arrives',
    'transport/node/answerTimeout.js',
    'if (transfer === undefined)',
    'if (true)',
  ],
  [
    'an entry forwards a relayed response while it arrives',
    'programs/relayRpc.js',
    'if (!hasBegun)\n                begin(status);',
    '',
  ],
  [
    'the response timeout includes the time to send the request body',
    'transport/node/answerTimeout.js',
    'time.after(timeoutMs + sendingMs',
    'time.after(timeoutMs',
  ],
  [
    'the configuration is confirmed immediately after a change',
    `${NODE_POOL}/configurationFeed.js`,
    'confirmWaitMs: CONFIRM_WATCH_MS,',
    '',
  ],
  [
    'a single failed watch does not cause a complete read of the configuration',
    `${NODE_POOL}/configurationFeed.js`,
    'seenRevision === undefined || failedWatches >= MAX_FAILED_WATCHES',
    'true',
  ],
  [
    'watches that are refused immediately do not count as failed watches',
    `${NODE_POOL}/configurationFeed.js`,
    '> REFUSED_MS',
    '> -1',
  ],
  [
    'records are listed again after repeated failed watches',
    `${NODE_POOL}/recordFeed.js`,
    'if (failedWatches >= MAX_FAILED_WATCHES)',
    'if (false)',
  ],
  [
    'an entry shares the configuration only while it receives responses from the store',
    `${NODE_POOL}/configurationShare.js`,
    'if (options.storeAgeMs() <= MAX_SILENCE_MS)',
    'if (true)',
  ],
  [
    'a write is not reported as refused if the check for an existing record fails',
    `${NODE_POOL}/jobRequestHandler.js`,
    'options.store.get(key), unresolved)',
    'options.store.get(key))',
  ],
  [
    'no request is denied based on a configuration not confirmed recently',
    `${NODE_POOL}/jobRequestHandler.js`,
    'if (feed.ageMs() > MAX_DENIAL_AGE_MS)',
    'if (false)',
  ],
  [
    'a caller is answered before its deadline',
    `${NODE_POOL}/jobRequestHandler.js`,
    'return await Promise.race([attempt, late]);',
    'return await attempt;',
  ],
  [
    'a large response body is not read if its status makes it unnecessary',
    'transport/node/httpClient.js',
    'return isBodyUnneeded && length > SHORT_BODY_BYTES;',
    'return false;',
  ],
  [
    'pending jobs are not counted again while a count is in flight',
    `${NODE_POOL}/pendingCounts.js`,
    '!last.isOpen && ',
    '',
  ],
  [
    'a run of a previous leader keeps its original start time',
    `${COMMON_POOL}/workerTable.js`,
    'run.startedAtMs = now.nowMs - heldMs;',
    '',
  ],
  [
    'a progress write is conditional on the revision that it overwrites',
    `${COMMON_POOL}/progressBatch.js`,
    '{ key, revision },\n    ...(cancelKey',
    '...(cancelKey',
  ],
  [
    'a progress write is conditional on the absence of a cancellation',
    `${COMMON_POOL}/progressBatch.js`,
    'cancelKey === undefined ? []',
    'true ? []',
  ],
  [
    'a start that waited for a valid leadership lease is stored again',
    `${NODE_POOL}/planDriver.js`,
    'for (;;) {\n            await options.save(jobId);',
    'await options.save(jobId);\n        for (;;) {',
  ],
  [
    'a progress write is conditional on the leadership record',
    `${COMMON_POOL}/progressBatch.js`,
    '[leadership, ...batch',
    '[...batch',
  ],
  [
    'a run end that changes nothing waits for earlier changes of its job to be stored',
    `${NODE_POOL}/runControl.js`,
    'return options.whenStored(jobId);',
    'return Promise.resolve();',
  ],
  [
    'a run end is acknowledged only after it is stored',
    `${NODE_POOL}/runControl.js`,
    'return options.save(jobId);',
    'void options.save(jobId); return Promise.resolve();',
  ],
  [
    'a closing run is gone only if the report has a fence that refuses its start order',
    `${COMMON_POOL}/reportReconciliation.js`,
    'viewFence >= run.closeFence',
    'true',
  ],
  [
    'a worker with no response yet keeps the leases of a previous leader',
    `${COMMON_POOL}/workerTable.js`,
    'leasesExpireAtMs: previousLeasesExpireAtMs',
    'leasesExpireAtMs: 0',
  ],
  [
    'a leased record write is conditional on the revision that it overwrites',
    `${NODE_POOL}/leasedRecord.js`,
    'conditions: [{ key, revision: current?.revision ?? store.ABSENT_REVISION }]',
    'conditions: []',
  ],
  [
    'a new incarnation of a worker gets a higher fence from the leader',
    `${NODE_POOL}/workerInfoHandler.js`,
    'fences.raiseFence(worker);\n    for (const run',
    'for (const run',
  ],
  [
    'an agent sends a new incarnation a higher fence before a leader knows of it',
    `${NODE_POOL}/poolAgent.js`,
    'if (newestIncarnationMs !== 0)',
    'if (false)',
  ],
  [
    'an agent fences off unacknowledged orders from every incarnation to come',
    `${NODE_POOL}/poolAgent.js`,
    'if (starts.some((it) => it.hasOpenCopy))',
    'if (false)',
  ],
  [
    'the leader raises its fence before an agent runs out of values above it',
    `${COMMON_POOL}/fences.js`,
    'worker.openMessages += 1',
    'worker.openMessages += 0',
  ],
  [
    'the leader raises its fence for a restarted agent',
    `${NODE_POOL}/runControl.js`,
    "if (worker.bootId !== '' && worker.bootId !== news.bootId)",
    'if (false)',
  ],
  [
    'a call in flight to the previous incarnation does not delay the fence for the new one',
    `${NODE_POOL}/poolAgent.js`,
    'if (isSucceeded && fence !== 0)',
    'if (false)',
  ],
  [
    'a new incarnation gets no lease of the previous one',
    `${NODE_POOL}/poolAgent.js`,
    'incarnationMs === newestIncarnationMs',
    'incarnationMs === (latest?.view.incarnationMs ?? info?.incarnationMs)',
  ],
  [
    'an order is not retried on a new incarnation of its worker',
    `${NODE_POOL}/orderDelivery.js`,
    'if (refusalOf(request) !== undefined)',
    'if (false)',
  ],
  [
    'run ends of a previous incarnation are not acknowledged to a new one',
    `${NODE_POOL}/poolAgent.js`,
    'const isAcknowledgementValid = isAnswering &&',
    'const isAcknowledgementValid =',
  ],
  [
    'a process ends only the leadership of its own previous incarnation',
    `${NODE_POOL}/poolLeadership.js`,
    'known !== undefined && isPreviousIncarnation(known)',
    'known !== undefined',
  ],
  [
    'an unreachable worker keeps its runs until its leases have expired',
    `${COMMON_POOL}/workerTable.js`,
    'nowMs > worker.leasesExpireAtMs',
    'true',
  ],
  [
    'a run is not declared lost while its order may arrive as a delayed duplicate',
    `${NODE_POOL}/orderResultHandler.js`,
    'if (hasOpenCopy)',
    'if (false)',
  ],
  [
    'completed runs received in an earlier term are applied in the next one',
    `${NODE_POOL}/poolLeader.js`,
    'control.applyDoneRuns();',
    '',
  ],
  [
    'a new leader restores how long orders of the previous leader may be delayed',
    'state/common/pool/progressRecord.js',
    'openOrders: toOpenOrders(row)',
    'openOrders: []',
  ],
  [
    'an end is not acknowledged while a delayed order may start the task',
    `${NODE_POOL}/endAcknowledgement.js`,
    'if (delayMs <= 0)',
    'if (true)',
  ],
  [
    'an end is not acknowledged before the result of its order',
    `${NODE_POOL}/runControl.js`,
    'if (task.orderedRun === end.run)',
    'if (false)',
  ],
  [
    'an order whose run is reported is not sent again',
    `${NODE_POOL}/orderDelivery.js`,
    'isCarriedOut() ?',
    'false ?',
  ],
  [
    'a task stays on the worker of its open order',
    `${COMMON_POOL}/startPlaces.js`,
    '{ ...unit, boundWorkerIds }',
    'unit',
  ],
  [
    'the room of a retry is held while it backs off',
    `${COMMON_POOL}/startPlaces.js`,
    'takeRoom(worker, step);',
    '',
  ],
  [
    'a task leaves a worker that answers no start',
    `${NODE_POOL}/orderResultHandler.js`,
    'if (task.refusals <= MAX_RETRIES)',
    'if (true)',
  ],
  [
    'an end is acknowledged in time although a delayed order may start the task',
    `${NODE_POOL}/endAcknowledgement.js`,
    'Math.min(leftMs, ',
    'Math.max(0, ',
  ],
  [
    'the last report of a silent worker does not bring its lost runs back',
    `${NODE_POOL}/runControl.js`,
    'if (isNewer)',
    'if (true)',
  ],
  [
    'a larger fleet holds more reservations',
    `${COMMON_POOL}/planRound.js`,
    'reservations < reservationLimit',
    'reservations < MIN_RESERVATION_LIMIT',
  ],
  [
    'an urgent gang that would be late on several racks stays on one',
    `${COMMON_POOL}/localityChoice.js`,
    'unit.priority === 0 && isLocalInTime && !isRemoteInTime',
    'false',
  ],
  [
    'an agent tells the next leader of the orders that got no answer',
    `${NODE_POOL}/poolAgent.js`,
    'openOrders.length === 0',
    'true',
  ],
  [
    'a new leader waits for delayed orders of the previous leader',
    `${NODE_POOL}/lostRunDetector.js`,
    'delayedMs(task) === 0',
    'true',
  ],
  [
    'a waiting task does not start while a delayed order may start it elsewhere',
    `${COMMON_POOL}/startPlaces.js`,
    '=== StartPlaceKind.nowhere))',
    '=== undefined))',
  ],
  [
    'a new leader waits for the expiry of leases of the previous leader',
    `${NODE_POOL}/lostRunDetector.js`,
    'if (nowMs() < options.previousLeasesExpireAtMs)',
    'if (false)',
  ],
  [
    'a lost watch of records is soon followed by the next one',
    `${NODE_POOL}/recordFeed.js`,
    'const WATCH_MS = 800;',
    'const WATCH_MS = 1900;',
  ],
  [
    'a lost watch of the leadership is soon followed by the next one',
    `${NODE_POOL}/poolLeadership.js`,
    'const WATCH_MS = 1200;',
    'const WATCH_MS = 2000;',
  ],
  [
    'stale counts of pending jobs are not reported',
    `${NODE_POOL}/poolLeader.js`,
    'isLoaded && feed.ageMs() <= MAX_REPORTED_AGE_MS',
    'isLoaded',
  ],
  [
    'a start is stored before it is sent',
    `${NODE_POOL}/planDriver.js`,
    'await options.save(jobId);',
    'void options.save(jobId);',
  ],
  [
    'a refusal after an unanswered attempt is not conclusive',
    `${NODE_POOL}/orderDelivery.js`,
    "hasOpenCopy && answer.outcome === 'refused'",
    'false',
  ],
  [
    'an agent refuses an order with a lower fence',
    `${NODE_POOL}/poolAgent.js`,
    'if (next < fence)',
    'if (false)',
  ],
  [
    'the end of an earlier run does not change its task',
    `${COMMON_POOL}/jobTransitions.js`,
    'task.run === outcome.run',
    'true',
  ],
  [
    'a completed run that was declared lost still completes its task',
    `${NODE_POOL}/runControl.js`,
    'worker.viewClockMs < options.grantMs',
    'false',
  ],
  [
    'the end of a lost run does not count if its lease may have expired',
    `${NODE_POOL}/runControl.js`,
    'worker.viewClockMs < options.grantMs',
    'true',
  ],
  [
    'several failed members of a gang count as one failure',
    `${COMMON_POOL}/jobTransitions.js`,
    'if (task.failedRun === run)',
    'if (false)',
  ],
  [
    'run ends are acknowledged only up to the first one not yet stored',
    `${COMMON_POOL}/endTracker.js`,
    'open.size === 0 ? highest : Math.min(...open) - 1',
    'highest',
  ],
  [
    'a submit is conditional on the revision of the configuration',
    `${NODE_POOL}/jobRequestHandler.js`,
    '{ key: options.configurationKey, revision: current.configurationRevision },',
    '',
  ],
  [
    'a write with an unknown outcome is never reported as refused',
    `${NODE_POOL}/jobRequestHandler.js`,
    'throw isOpen',
    'throw false',
  ],
  [
    'no credential is checked against a stale configuration',
    `${NODE_POOL}/jobRequestHandler.js`,
    'feed.ageMs() <= options.revokeMs * FRESH_SHARE',
    'true',
  ],
  [
    'an older configuration does not replace the active one',
    `${NODE_POOL}/configurationFeed.js`,
    'configuration.version < active.configuration.version',
    'false',
  ],
  [
    'a planning round counts the tasks of a step that it has placed on a worker',
    `${COMMON_POOL}/gangPlacement.js`,
    'worker.placedSteps.set(',
    'void (',
  ],
  [
    'a failed page does not restart the list from its first page',
    'platform/platformStore.js',
    'attempt === PAGE_ATTEMPTS',
    'true',
  ],
  [
    'a write without a response has an unknown outcome',
    'platform/platformStore.js',
    'if (isNotSent)',
    'if (true)',
  ],
  [
    'a crash is recorded with the tasks that were on the worker',
    `${NODE_POOL}/crashRecorder.js`,
    'recordSeen(worker, news, receivedAtMs);',
    '',
  ],
  [
    'a crash that the restarted agent has not seen counts against the limit of starts',
    `${NODE_POOL}/crashRecorder.js`,
    'recordUnseen(worker, news, receivedAtMs);',
    '',
  ],
  [
    'a task that may not start again fails instead of waiting',
    `${COMMON_POOL}/jobTransitions.js`,
    'crashAttribution.mayNotStartAgain(task)\n',
    'false\n',
  ],
  [
    'a suspect starts only on a worker without tasks of other jobs',
    `${COMMON_POOL}/isolation.js`,
    'runsInTheWay(worker, unit).length === 0',
    'true',
  ],
  [
    'no other task starts beside a run on probation',
    `${COMMON_POOL}/isolation.js`,
    'exclusiveJobId !== undefined && exclusiveJobId !== jobIdOf(unit)',
    'false',
  ],
  [
    'a crash of most workers accuses no task',
    `${COMMON_POOL}/crashAttribution.js`,
    'if (isWidespread && shortestMs > PROMPT_MS)',
    'if (false)',
  ],
  [
    'a suspect does not wait forever for a worker to itself',
    `${COMMON_POOL}/isolation.js`,
    'unit.waitedMs >= maxWaitMs',
    'false',
  ],
  [
    'a start that a worker refused does not count against the limit of starts',
    `${COMMON_POOL}/jobState.js`,
    'task.limitedStarts = Math.max(0, task.limitedStarts - 1);',
    '',
  ],
  [
    'a crash that may have gone unseen leaves one start less',
    `${COMMON_POOL}/crashAttribution.js`,
    'const MAX_LIMITED_STARTS = 1;',
    'const MAX_LIMITED_STARTS = 2;',
  ],
  [
    'crashes during a silence are withdrawn once the worker answers',
    `${NODE_POOL}/crashRecorder.js`,
    'withdraw(worker);',
    '',
  ],
  [
    'a report of an unannounced incarnation does not settle a stop',
    `${NODE_POOL}/orderResultHandler.js`,
    'if (news?.view?.incarnationMs !== worker.info?.incarnationMs)',
    'if (false)',
  ],
  [
    'a member of a gang that has done its part does not stall while others work',
    `${COMMON_POOL}/runProgress.js`,
    'if (members.some(({ percent }) => percent < DONE_PERCENT))',
    'if (false)',
  ],
  [
    'a run that ends before its worker leaves is not stopped',
    `${NODE_POOL}/runInspection.js`,
    'isCheckpointing || isLongRunning ? CHECKPOINT_RESERVE_MS : 0',
    'CHECKPOINT_RESERVE_MS',
  ],
  [
    'a job whose progress can not be read is put aside',
    `${COMMON_POOL}/jobRegistry.js`,
    'setAside.add(jobId);',
    '',
  ],
  [
    'workers in an evacuated zone accept no tasks',
    `${COMMON_POOL}/workerTable.js`,
    '!isInEvacuatedZone(worker);',
    'true;',
  ],
  [
    'a start that is stored is not sent into a zone that was evacuated meanwhile',
    `${NODE_POOL}/planDriver.js`,
    ' || workerTable.isInEvacuatedZone(worker)',
    '',
  ],
  [
    'a start waits until the evacuations are known to be current',
    `${NODE_POOL}/planDriver.js`,
    'nowMs() < options.evacuations.startsUntilMs()',
    'true',
  ],
  [
    'a leader plans nothing before it has read the evacuations',
    `${NODE_POOL}/poolLeader.js`,
    'evacuated.startsUntilMs() !== -Infinity',
    'true',
  ],
  [
    'an order that arrives long after the evacuations were confirmed is refused',
    `${NODE_POOL}/orderDelivery.js`,
    "return isTooLateToStart(request) ? 'the zone may have been evacuated since' : undefined;",
    'return undefined;',
  ],
  [
    'an unanswered start is not repeated long after the evacuations were confirmed',
    `${NODE_POOL}/orderDelivery.js`,
    'mayRepeat: () => !isTooLateToStart(request)',
    'mayRepeat: () => true',
  ],
  [
    'evacuations are read again where the store has forgotten changes',
    `${NODE_POOL}/evacuationFeed.js`,
    'applyChanges(entries, removed);',
    'if (isFirst) applyChanges(entries, removed);',
  ],
  [
    'an evacuation that is gone from a reading is taken back',
    `${NODE_POOL}/evacuationFeed.js`,
    'applyChanges(entries, removed);',
    'applyChanges(entries, []);',
  ],
  [
    'an order without a response has an unknown outcome',
    'platform/workerClient.js',
    "isNotSent ? 'refused' : 'unknown'",
    "'refused'",
  ],
  [
    'a worker report with unreadable runs is rejected',
    'platform/workerWire.js',
    'running.includes(undefined) || ended.includes(undefined)',
    'false',
  ],
];

const OUTPUT = 'target/guards';
const TIMEOUT_MS = 120_000;
const CONCURRENCY = 4;

const buildWithoutGuard = (index, file, from, to) => {
  const folder = path.join(OUTPUT, String(index));
  fs.rmSync(folder, { recursive: true, force: true });
  fs.cpSync('dist', folder, { recursive: true });
  const target = path.join(folder, file);
  const text = fs.readFileSync(target, 'utf8');
  if (!text.includes(from)) throw new Error(`${file} does not contain: ${from}`);
  fs.writeFileSync(target, text.replace(from, to));
  return folder;
};

const doTestsFail = (folder) =>
  new Promise((resolve) => {
    const files = TESTS.map((it) => path.join(folder, it));
    const child = childProcess.spawn(process.execPath, ['--test', ...files], { stdio: 'ignore' });
    const timer = setTimeout(() => child.kill(), TIMEOUT_MS);
    child.on('exit', (code) => {
      clearTimeout(timer);
      fs.rmSync(folder, { recursive: true, force: true });
      resolve(code !== 0);
    });
  });

/** `npm run guards -- WORD` checks only the guards whose names contain WORD. */
const [, , word = ''] = process.argv;
const queue = GUARDS.map((guard, index) => ({ guard, index })).filter(({ guard }) =>
  guard[0].includes(word),
);
const total = queue.length;
let missedCount = 0;
const checkQueuedGuards = async () => {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const [name, file, from, to] = next.guard;
    const isCaught = await doTestsFail(buildWithoutGuard(next.index, file, from, to));
    if (!isCaught) missedCount += 1;
    console.log(`${isCaught ? 'caught' : 'MISSED'}  ${name}`);
  }
};
await Promise.all(Array.from({ length: CONCURRENCY }, checkQueuedGuards));
console.log(`${total - missedCount} of ${total} guards are covered by a test`);
process.exit(missedCount === 0 ? 0 : 1);
