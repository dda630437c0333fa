/**
 * Settings of the programs, including a process's addresses, region and availability zone.
 */
import * as Schema from 'effect/Schema';

import * as clientLimits from './clientLimits.js';
import * as units from './units.js';

/** Address on which a server listens; port 0 selects any free port. */
export const Listen = Schema.Struct({
  host: Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(253)),
  port: units.integerBetween(0, 65_535),
});

/** See {@link Listen}. */
export type Listen = typeof Listen.Type;

const Secret = Schema.String.check(
  Schema.makeFilter((value: string) => value.length >= 16 && value.length <= 256, {
    expected: 'a secret of 16 to 256 characters',
  }),
);

const common = {
  processId: units.Id,
  region: units.Id,
  zone: units.Id,
  /** Address for other processes of the system. */
  peers: Listen,
  /** Shared by the system's processes. */
  peerSecret: Secret,
  logLevel: Schema.Literals(['debug', 'info', 'warn', 'error']),
  /** Longest time that a graceful shutdown waits for requests in flight. */
  drainMs: units.DurationMs,
  /** Limits on what clients may cost the process; each has a default. */
  clientLimits: Schema.optionalKey(clientLimits.ClientLimitSettings),
};

const storeAccess = {
  storeUrl: units.Url,
  storeTimeoutMs: units.integerBetween(10, 60_000),
  /** Term of the process's leases, for discovery and leadership. */
  leaseMs: units.integerBetween(500, 600_000),
  /** Other entries or schedulers to ask for the configuration while the store is unavailable. */
  peerUrls: Schema.optionalKey(Schema.Array(units.Url)),
};

/** An operator's token, stored as a hash. */
export const OperatorToken = Schema.Struct({
  operatorId: units.Id,
  role: Schema.Literals(['read', 'write']),
  saltHex: Schema.String.check(Schema.isPattern(/^[0-9a-f]{16,128}$/)),
  /** scrypt of the token with the salt, 32 bytes. */
  hashHex: Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/)),
});

/** See {@link OperatorToken}. */
export type OperatorToken = typeof OperatorToken.Type;

/** Settings of `auburnlift-entry`. */
export const EntrySettings = Schema.Struct({
  ...common,
  ...storeAccess,
  /** Address for callers and customers. */
  callers: Listen,
  /** Address of the operators' console and API. */
  operators: Listen,
  operatorTokens: Schema.Array(OperatorToken),
  maxBodyBytes: units.integerBetween(1, 1_073_741_824),
  /** Maximum number of requests in flight. */
  maxOpenRequests: units.integerBetween(1, 1_000_000),
  /** Maximum bytes of request bodies held in memory; 64 MB if absent. */
  maxOpenBytes: Schema.optionalKey(units.integerBetween(1, 1_073_741_824)),
  /** Interval at which agents register with the entry; a minute if absent. */
  registerMs: Schema.optionalKey(units.integerBetween(2000, 600_000)),
});

/** See {@link EntrySettings}. */
export type EntrySettings = typeof EntrySettings.Type;

/** Settings of `auburnlift-scheduler`. */
export const SchedulerSettings = Schema.Struct({ ...common, ...storeAccess });

/** See {@link SchedulerSettings}. */
export type SchedulerSettings = typeof SchedulerSettings.Type;

/** The worker on an agent's VM. */
export const AgentWorker = Schema.Struct({
  workerId: units.Id,
  /** Address of the platform's worker. */
  url: units.Url,
  rack: units.Id,
  accelerators: units.integerBetween(0, 64),
  cores: units.integerBetween(1, 4096),
  memoryBytes: units.Count,
});

/** See {@link AgentWorker}. */
export type AgentWorker = typeof AgentWorker.Type;

/** Settings of `auburnlift-agent`. */
export const AgentSettings = Schema.Struct({
  ...common,
  /** Entries of the region to contact first, for example the load balancer in front of them. */
  entryUrls: Schema.Array(units.Url).check(Schema.isMinLength(1)),
  /** Absent if no worker runs on the VM. */
  worker: Schema.optionalKey(AgentWorker),
  /** Interval of heartbeats to the cell's leader and the entries. */
  reportMs: units.integerBetween(100, 60_000),
  /** Maximum number of requests that wait for a slot of the upstream. */
  maxQueued: units.integerBetween(0, 100_000),
  maxBodyBytes: units.integerBetween(1, 1_073_741_824),
});

/** See {@link AgentSettings}. */
export type AgentSettings = typeof AgentSettings.Type;
