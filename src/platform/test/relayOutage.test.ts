/**
 * Exchanges that the system sends while the store fails for all machines or for some.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayOutage from './relayOutage.js';

const { Fault } = relayOutage;

/** The target system has 90 entries; eight show the same within seconds. */
const MACHINES = Number(process.env.RELAY_MACHINES ?? 8);

const FAULTS = [Fault.silent, Fault.busy, Fault.reset] as const;

/** Callers' reads per second at each entry, and the same number of writes. */
const HIGH_READ_RATE = 2;
const READ_RATES = [0.1, HIGH_READ_RATE, 10] as const;

/** Maximum duration of a caller's call, by the fake clock. */
const MAX_CALL_MS = 900;

/** Time until a lack of answers is detected; the calls sent in it are open at the same time. */
const DETECTION_S = 0.45;

const MIN_SERVED_SHARE = 0.95;

for (const readsPerSecond of READ_RATES) {
  test.describe(`${MACHINES} machines without the store, ${readsPerSecond} reads/s`, () => {
    const scenario = { machines: MACHINES, readsPerSecond, affectedOneIn: 1 };
    const baselineRun = relayOutage.simulateOutage({ ...scenario, fault: Fault.none });

    test.it('without a fault all calls are served', async (context) => {
      const baseline = await baselineRun;
      context.diagnostic(`baseline ${JSON.stringify(baseline)}`);
      assert.equal(baseline.reads.served, baseline.reads.calls);
      assert.equal(baseline.writes.served, baseline.writes.calls);
    });

    for (const fault of FAULTS) {
      // Guards against an outage in which the system's own load exceeds that without a fault.
      test.it(`${fault} for all: no more exchanges than without a fault`, async (context) => {
        const baseline = await baselineRun;
        const seen = await relayOutage.simulateOutage({ ...scenario, fault });
        context.diagnostic(`all ${fault} ${JSON.stringify(seen)}`);
        assert.ok(seen.allPerSecond <= baseline.allPerSecond, 'exchanges of all processes');
        assert.ok(seen.busiestPerSecond <= baseline.busiestPerSecond, 'exchanges of one process');
        const mostOpen = baseline.mostOpen + baseline.allPerSecond * DETECTION_S;
        assert.ok(seen.mostOpen <= mostOpen, 'open exchanges');
        assert.ok(seen.reads.mostMs <= MAX_CALL_MS, 'a read');
        assert.ok(seen.writes.mostMs <= MAX_CALL_MS, 'a write');
      });
    }
  });
}

test.describe(`${MACHINES} machines, a third without the store`, () => {
  for (const fault of FAULTS) {
    // Guards against a limit on outage traffic that denies relays to machines that need them.
    test.it(`${fault}: callers there are served through other machines`, async (context) => {
      const scenario = { machines: MACHINES, readsPerSecond: HIGH_READ_RATE, affectedOneIn: 3 };
      const seen = await relayOutage.simulateOutage({ ...scenario, fault });
      context.diagnostic(`third ${fault} ${JSON.stringify(seen)}`);
      assert.ok(seen.reads.served >= seen.reads.calls * MIN_SERVED_SHARE, 'reads');
      assert.ok(seen.writes.served >= seen.writes.calls * MIN_SERVED_SHARE, 'writes');
      assert.ok(seen.reads.mostMs <= MAX_CALL_MS, 'a read');
      assert.ok(seen.writes.mostMs <= MAX_CALL_MS, 'a write');
    });
  }
});
