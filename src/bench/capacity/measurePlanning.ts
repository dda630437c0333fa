/**
 * Measures the cost of a planning round by workers and queued jobs, and the cost of decoding the
 * configuration by customers.
 */
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as placement from '../../coordination/common/placement.js';
import type * as planTypes from '../../coordination/common/planTypes.js';
import * as smallConfiguration from '../../programs/test/smallConfiguration.js';
import * as configuration from '../../state/common/configuration.js';
import type * as job from '../../state/common/job.js';

import type * as measurement from './measurement.js';
import * as processUse from './processUse.js';

const WORKERS = [28, 112, 670] as const;
const JOBS = [100, 400, 1000] as const;
const CUSTOMERS = [4, 16, 52] as const;
const CELL_WORKERS = 112;
const ROUNDS = 20;
const DECODES = 200;
const RUN_MS = 3_600_000;

const queuedJob = (index: number): job.JobRecord => ({
  spec: {
    jobId: `job-${index}`,
    customerId: 'customer-a',
    kind: 'plan',
    cell: 'zone-a',
    claim: 'spare',
    members: 1 + (index % 4),
    acceleratorsPerMember: [1, 2, 4, 8][index % 4] ?? 1,
    adjacency: (['worker', 'rack', 'zone'] as const)[index % 3] ?? 'zone',
    declaredRunMs: RUN_MS,
    isCheckpointable: true,
    payload: '',
  },
  state: 'queued',
  submittedAtMs: index,
  attempt: 0,
  epoch: 1,
  placement: [],
  checkpointMs: 0,
  failures: [],
  decisions: [],
});

const viewOf = (workers: number, jobs: number): planTypes.PlanView => ({
  nowMs: jobs,
  cell: 'zone-a',
  configVersion: 1,
  document: smallConfiguration.smallConfiguration(workers),
  workers: Array.from({ length: workers }, (_unused, index) => ({
    workerId: `worker-${index}`,
    rack: `rack-${Math.floor(index / 3)}`,
    accelerators: 2,
    health: 'ready' as const,
  })),
  jobs: Array.from({ length: jobs }, (_unused, index) => queuedJob(index)),
});

const meanCpuMs = (times: number, one: () => void): number => {
  one();
  const before = processUse.ownCpuMs();
  for (let index = 0; index < times; index += 1) one();
  return (processUse.ownCpuMs() - before) / times;
};

const withCustomers = (count: number): configuration.ConfigurationDocument => {
  const document = smallConfiguration.smallConfiguration(CELL_WORKERS);
  const [first] = document.customers;
  const customers = Array.from({ length: count }, (_unused, index) => ({
    ...(first as configuration.Customer),
    customerId: `customer-${index}`,
  }));
  const shapes = customers.map((it, index) => ({
    shapeId: `shape-${index}`,
    customerId: it.customerId,
    cell: 'zone-a',
    accelerators: 2,
    adjacency: 'worker' as const,
    count: 1,
  }));
  return { ...document, customers, shapes };
};

/**
 * @param recorder - collects the measurements
 */
export const measurePlanning = (recorder: measurement.Recorder): void => {
  for (const workers of WORKERS) {
    const view = viewOf(workers, 1000);
    const cpuMs = meanCpuMs(ROUNDS, () => placement.planRound(view));
    recorder.point('planRoundCpuMs by workers', workers, cpuMs);
  }
  for (const jobs of JOBS) {
    const view = viewOf(CELL_WORKERS, jobs);
    const cpuMs = meanCpuMs(ROUNDS, () => placement.planRound(view));
    recorder.point('planRoundCpuMs by jobs', jobs, cpuMs);
  }
  for (const customers of CUSTOMERS) {
    const text = JSON.stringify(withCustomers(customers));
    const decode = (): void => {
      schemaIssues.decode(configuration.ConfigurationDocument, JSON.parse(text));
    };
    recorder.point('configurationDecodeCpuMs by customers', customers, meanCpuMs(DECODES, decode));
    recorder.point('configurationBytes by customers', customers, Buffer.byteLength(text));
  }
};
