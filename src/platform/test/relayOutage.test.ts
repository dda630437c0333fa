/**
 * What the system sends while nobody, or not everybody, has a way to the store.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayOutage from './relayOutage.js';

const { Fault } = relayOutage;

/** Entries of the target are 90; eight show the same in seconds. */
const MACHINES = Number(process.env.RELAY_MACHINES ?? 8);

const FAULTS = [Fault.silent, Fault.busy, Fault.reset] as const;

/** Callers' reads a second at each entry, and as many writes. */
const BUSY_READS = 2;
const READS = [0.1, BUSY_READS, 10] as const;

/** A caller's call ends by then in the fake clock's time. */
const MOST_HELD_MS = 900;

/** Before a silence is noticed, the calls of this time are open at once. */
const NOTICED_S = 0.45;

const MIN_SERVED_SHARE = 0.95;

for (const readsPerSecond of READS) {
  test.describe(`${MACHINES} machines without the store, ${readsPerSecond} reads/s`, () => {
    const site = { machines: MACHINES, readsPerSecond, hitOneIn: 1 };
    const calmDay = relayOutage.playOutage({ ...site, fault: Fault.none });

    test.it('a calm day serves all', async (context) => {
      const calm = await calmDay;
      context.diagnostic(`calm ${JSON.stringify(calm)}`);
      assert.equal(calm.reads.served, calm.reads.calls);
      assert.equal(calm.writes.served, calm.writes.calls);
    });

    for (const fault of FAULTS) {
      // Guards against an outage that makes the system's own load larger than a calm day's.
      test.it(`${fault} for all: no more exchanges than on a calm day`, async (context) => {
        const calm = await calmDay;
        const seen = await relayOutage.playOutage({ ...site, fault });
        context.diagnostic(`all ${fault} ${JSON.stringify(seen)}`);
        assert.ok(seen.allPerSecond <= calm.allPerSecond, 'exchanges of all');
        assert.ok(seen.busiestPerSecond <= calm.busiestPerSecond, 'exchanges of one process');
        const mostOpen = calm.mostOpen + calm.allPerSecond * NOTICED_S;
        assert.ok(seen.mostOpen <= mostOpen, 'exchanges at once');
        assert.ok(seen.reads.mostMs <= MOST_HELD_MS, 'a read');
        assert.ok(seen.writes.mostMs <= MOST_HELD_MS, 'a write');
      });
    }
  });
}

test.describe(`${MACHINES} machines, a third without the store`, () => {
  for (const fault of FAULTS) {
    // Guards against a bound on outages that takes the way by others from machines that need it.
    test.it(`${fault}: callers there are served by others`, async (context) => {
      const site = { machines: MACHINES, readsPerSecond: BUSY_READS, hitOneIn: 3 };
      const seen = await relayOutage.playOutage({ ...site, fault });
      context.diagnostic(`third ${fault} ${JSON.stringify(seen)}`);
      assert.ok(seen.reads.served >= seen.reads.calls * MIN_SERVED_SHARE, 'reads');
      assert.ok(seen.writes.served >= seen.writes.calls * MIN_SERVED_SHARE, 'writes');
      assert.ok(seen.reads.mostMs <= MOST_HELD_MS, 'a read');
      assert.ok(seen.writes.mostMs <= MOST_HELD_MS, 'a write');
    });
  }
});
