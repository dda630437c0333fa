/**
 * Measures how long a configuration change takes to become active at every process of the dev host, and
 * the cost of each stage, from which the time at the target size can be derived.
 */
import * as path from 'node:path';
import * as url from 'node:url';

import * as hdr from 'hdr-histogram-js';

import * as http from '../base/common/http.js';
import * as settingsFile from '../base/node/settingsFile.js';
import * as systemClock from '../base/node/systemClock.js';
import * as deployment from '../dev/deployment.js';
import * as devHost from '../dev/devHost.js';
import * as configuration from '../state/common/configuration.js';
import * as configurationChecks from '../state/common/configurationChecks.js';
import * as httpClient from '../transport/node/httpClient.js';
import type * as operatorGateway from '../transport/node/operatorGateway.js';

const EXAMPLE = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../examples/kamarvaki',
);
const CHANGES = 20;
const POLL_MS = 20;
const BAR_MS = 2000;
const TIMEOUT_MS = 5000;
const START_MS = 10_000;
const TARGET_CUSTOMERS = 52;
const HIGHEST_MS = 60_000;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const nowMs = systemClock.systemClock.monotonicMs;

/** The example's document, extended to as many customers and shapes as the target size has teams. */
const atTargetSize = (
  document: configuration.ConfigurationDocument,
): configuration.ConfigurationDocument => {
  const [customer] = document.customers;
  const [cell] = document.cells;
  const [shape] = document.shapes;
  if (customer === undefined || cell === undefined || shape === undefined) return document;
  const ids = Array.from({ length: TARGET_CUSTOMERS }, (_unused, index) => `team-${index}`);
  const workers = 112;
  return {
    ...document,
    cells: [{ ...cell, workers, acceleratorsPerWorker: 2, workersPerRack: 8 }],
    customers: ids.map((customerId) => ({ ...customer, customerId, guaranteedSlots: 0 })),
    shapes: ids.map((customerId, index) => ({
      ...shape,
      shapeId: `shape-${index}`,
      customerId,
      accelerators: 2,
      adjacency: 'worker',
    })),
    rules: [
      {
        ruleId: 'all',
        customerIds: ids,
        cells: [],
        weight: 1,
        maxAccelerators: 64,
        throttleFirst: true,
      },
    ],
    objectives: ids.map((customerId, index) => ({
      objectiveId: `objective-${index}`,
      customerId,
      kind: 'startWithin',
      thresholdMs: 3400,
      target: 0.99,
      windowMs: 2_592_000_000,
    })),
  };
};

const printCosts = (
  document: configuration.ConfigurationDocument,
  print: (line: string) => void,
): void => {
  for (const [name, it] of [
    ['example', document],
    ['52 customers', atTargetSize(document)],
  ] as const) {
    const text = JSON.stringify(it);
    const startMs = nowMs();
    const rounds = 50;
    for (let round = 0; round < rounds; round += 1) {
      const decoded = configurationChecks.decodeDocument(JSON.parse(text));
      if (!decoded.isValid) throw new Error(JSON.stringify(decoded.issues[0]));
    }
    const eachMs = (nowMs() - startMs) / rounds;
    print(
      `document of ${name}: ${text.length} bytes, decoded and checked in ${eachMs.toFixed(2)} ms`,
    );
  }
};

/**
 * @param _args - unused
 * @param print - called with each line of the results
 */
export const runConfigurationBench = async (
  _args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const document = settingsFile.readSettings(
    configuration.ConfigurationDocument,
    path.join(EXAMPLE, 'configuration.jsonc'),
  );
  const machines = settingsFile.readSettings(
    deployment.Deployment,
    path.join(EXAMPLE, 'deployment.jsonc'),
  );
  printCosts(document, print);
  const host = await devHost.startDevHost({ deployment: machines, document, logLevel: 'error' });
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 20_000,
    maxReplyBytes: 8_388_608,
  });
  const address = http.parseAddress(host.entries[0]?.program.operatorsUrl ?? '');
  const send = async <T>(method: string, target: string, body?: unknown): Promise<T> => {
    const reply = await client.call({
      address,
      method,
      path: target,
      headers: { authorization: `Bearer ${host.operatorToken}` },
      body: Buffer.from(body === undefined ? '' : JSON.stringify(body)),
      timeoutMs: TIMEOUT_MS,
    });
    const text = Buffer.from(reply.body).toString('utf8');
    if (reply.status !== 200) throw new Error(`${method} ${target}: ${reply.status} ${text}`);
    return JSON.parse(text) as T;
  };
  const readStatus = () => send<operatorGateway.ConfigurationStatus>('GET', '/api/config/status');
  const expected = host.entries.length + host.schedulers.length + host.vms.length;
  const isActiveAtAll = async (version: number): Promise<boolean> => {
    const status = await readStatus();
    const reached = status.processes.filter((it) => (it.version ?? 0) >= version);
    return reached.length === expected;
  };
  const awaitActive = async (version: number, limitMs: number): Promise<void> => {
    const untilMs = nowMs() + limitMs;
    while (!(await isActiveAtAll(version).catch(() => false))) {
      if (nowMs() > untilMs) throw new Error(`version ${version} isn't active everywhere`);
      await sleep(POLL_MS);
    }
  };
  await awaitActive(1, START_MS);
  const writes = hdr.build({ highestTrackableValue: HIGHEST_MS });
  const times = hdr.build({ highestTrackableValue: HIGHEST_MS });
  for (let baseVersion = 1; baseVersion <= CHANGES; baseVersion += 1) {
    const { placement } = document;
    const startMs = nowMs();
    await send('PUT', '/api/config', {
      baseVersion,
      writeId: `bench-${baseVersion}`,
      reason: 'measurement',
      document: { ...document, placement: { ...placement, reclaimGraceMs: 1000 + baseVersion } },
    });
    writes.recordValue(Math.round(nowMs() - startMs));
    await awaitActive(baseVersion + 1, TIMEOUT_MS);
    times.recordValue(Math.round(nowMs() - startMs));
  }
  const line = (it: hdr.Histogram): string =>
    `median ${it.getValueAtPercentile(50)} ms, worst ${it.maxValue} ms`;
  print(`${CHANGES} changes, ${expected} processes (${host.vms.length} agents)`);
  print(`accepted after: ${line(writes)}`);
  print(`in force at all processes after: ${line(times)}; the bar is ${BAR_MS} ms`);
  await client.dispose();
  await host.dispose();
  if (times.maxValue > BAR_MS) throw new Error('the limit was exceeded');
};
