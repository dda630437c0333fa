/**
 * The archive of ended jobs and the counts of service levels, on the in-memory store.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as ledgerFixtures from '../../coordination/common/test/ledgerFixtures.js';
import * as jobArchive from '../../coordination/node/jobArchive.js';
import * as serviceLevelRecorder from '../../coordination/node/serviceLevelRecorder.js';
import type * as job from '../../state/common/job.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as memoryStore from '../memoryStore.js';

const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
const START_MS = 20_000 * DAY_MS;

const createHarness = () => {
  const time = clock.createFakeClock(START_MS);
  const store = memoryStore.createMemoryStore(time);
  const counters = metrics.createMetrics();
  return {
    time,
    store,
    counters,
    archive: () =>
      jobArchive.createJobArchive({
        cell: 'zone-a',
        store,
        clock: time,
        log: logging.silentLog,
        metrics: counters,
      }),
    levels: (writerId: string) =>
      serviceLevelRecorder.createServiceLevelRecorder({
        writerId,
        store,
        clock: time,
        log: logging.silentLog,
      }),
  };
};

const endedJob = (jobId: string, endedAtMs: number): job.JobRecord => ({
  ...ledgerFixtures.jobOf(jobId, [], { state: 'done' }),
  endedAtMs,
});

test.test(
  'an ended job is found in the archive for 30 days after its segment has dropped it',
  async () => {
    const harness = createHarness();
    const archive = harness.archive();
    archive.add(endedJob('a', START_MS));
    await harness.time.advance(60_000);
    const found = (atMs: number) => jobArchive.findArchivedJob(harness.store, 'zone-a', 'a', atMs);
    assert.equal((await found(START_MS))?.state, 'done');
    assert.equal((await found(START_MS + 30 * DAY_MS))?.state, 'done');
    assert.equal(await found(START_MS + 31 * DAY_MS), undefined);
    // A later write deletes the record itself.
    await harness.time.advance(32 * DAY_MS);
    archive.add(endedJob('b', harness.time.wallMs()));
    await harness.time.advance(60_000);
    const { entries } = await harness.store.list('cells/zone-a/job-archive/');
    assert.equal(entries.length, 1);
  },
);

test.test('a job that two leaders archive is stored once', async () => {
  // A leader archives a job and ends. The next leader does not know that, and archives the recently ended
  // jobs again; explain must not show a job twice.
  const harness = createHarness();
  const first = harness.archive();
  first.add(endedJob('a', START_MS));
  await first.flush();
  const second = harness.archive();
  const long = endedJob('long-ago', START_MS - 2 * DAY_MS);
  second.addRecent([endedJob('a', START_MS), endedJob('b', START_MS), long]);
  await second.flush();
  const { entries } = await harness.store.list('cells/zone-a/job-archive/');
  const jobs = entries.flatMap((it) => (JSON.parse(it.value) as { jobs: job.JobRecord[] }).jobs);
  assert.deepEqual(
    jobs.map((it) => it.spec.jobId),
    ['a', 'b'],
  );
});

test.test('no job is missing from the archive after a lost answer or an outage', async () => {
  const harness = createHarness();
  const archive = harness.archive();
  harness.store.faults.loseWriteAnswers = 1;
  archive.add(endedJob('a', START_MS));
  await harness.time.advance(60_000);
  harness.store.faults.isDown = true;
  archive.add(endedJob('b', START_MS));
  await harness.time.advance(180_000);
  harness.store.faults.isDown = false;
  await harness.time.advance(60_000);
  const { entries } = await harness.store.list('cells/zone-a/job-archive/');
  const jobs = entries.flatMap((it) => (JSON.parse(it.value) as { jobs: job.JobRecord[] }).jobs);
  assert.deepEqual(jobs.map((it) => it.spec.jobId).sort(), ['a', 'b']);
});

test.test(
  'a day with too many jobs stays within its parts and counts the jobs that it dropped',
  async () => {
    const harness = createHarness();
    const archive = harness.archive();
    const long = { atMs: 0, what: 'placed', why: 'x'.repeat(400), configVersion: 1 };
    for (let index = 0; index < 500; index += 1) {
      const record = endedJob(`job-${index}`, START_MS);
      archive.add({ ...record, decisions: Array.from({ length: 24 }, () => long) });
    }
    await archive.flush();
    const { entries } = await harness.store.list('cells/zone-a/job-archive/');
    assert.equal(entries.length, jobArchive.MAX_PARTS);
    assert.ok(entries.every((it) => it.value.length <= 524_288));
    const stored = entries.flatMap(
      (it) => (JSON.parse(it.value) as { jobs: unknown[] }).jobs,
    ).length;
    const dropped = harness.counters.read('auburnlift_job_archive_dropped_total', {
      cell: 'zone-a',
    });
    assert.equal(stored + dropped, 500);
    assert.ok(dropped > 0);
  },
);

const GOOD = [{ objectiveId: 'fast', isGood: true }];

const goodOf = async (store: memoryStore.MemoryStore, nowMs: number): Promise<number> => {
  const hours = await serviceLevelRecorder.createServiceLevelReader(store)(nowMs);
  return hours
    .flatMap((it) => it.objectives)
    .flatMap((it) => it.good)
    .reduce((sum, it) => sum + it, 0);
};

test.test('counts survive a restart of the process, a lost answer and an outage', async () => {
  // An entry counts events, the answer of its write is lost, the store is down for ten minutes, and the
  // entry restarts with the same id: the report must show each event once.
  const harness = createHarness();
  const first = harness.levels('entry-1.boot-1');
  first.note(GOOD);
  harness.store.faults.loseWriteAnswers = 1;
  await harness.time.advance(60_000);
  first.note(GOOD);
  harness.store.faults.isDown = true;
  await harness.time.advance(600_000);
  harness.store.faults.isDown = false;
  await harness.time.advance(60_000);
  await first.dispose();
  const second = harness.levels('entry-1.boot-2');
  second.note(GOOD);
  await second.flush();
  assert.equal(await goodOf(harness.store, harness.time.wallMs()), 3);
});

test.test('an hour of events costs few calls, and old hours are deleted', async () => {
  const harness = createHarness();
  const recorder = harness.levels('entry-1.boot-1');
  for (let minute = 0; minute < 60; minute += 1) {
    for (let index = 0; index < 100; index += 1) recorder.note(GOOD);
    await harness.time.advance(60_000);
  }
  const { cas = 0, list = 0 } = harness.store.calls();
  assert.ok(cas <= 61, `${cas} writes`);
  assert.ok(list <= 6, `${list} listings`);
  assert.equal(await goodOf(harness.store, harness.time.wallMs()), 6000);
  await harness.time.advance(74 * HOUR_MS);
  recorder.note(GOOD);
  await recorder.flush();
  const { entries } = await harness.store.list(storeKeys.serviceLevelPrefix(START_MS / HOUR_MS));
  assert.deepEqual(entries, []);
});
