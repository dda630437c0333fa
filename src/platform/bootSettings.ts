/**
 * The platform's settings file (TOML), decoded into the product's settings. Unknown fields are ignored,
 * because the platform may add new ones.
 */
import * as fs from 'node:fs';

import * as Schema from 'effect/Schema';
import * as toml from 'smol-toml';

import * as errors from '../base/common/errors.js';
import type * as http from '../base/common/http.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import * as clientLimits from '../state/common/clientLimits.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';
import * as store from '../state/common/store.js';

/** Environment variable with the path of the settings file. */
const PATH_VARIABLE = 'AUBURNLIFT_BOOT';

/** Environment variable of the deploy file that switches the learning of workers' speeds. */
const SPEEDS_VARIABLE = 'AUBURNLIFT_WORKER_SPEEDS';

/** Environment variable of the deploy file with limits on clients, as JSON. */
const CLIENT_LIMITS_VARIABLE = 'AUBURNLIFT_CLIENT_LIMITS';

/** Values of {@link SPEEDS_VARIABLE}, and whether speeds are learnt with them; without the variable they are. */
const LEARNS_SPEEDS: Readonly<Record<string, boolean>> = { learn: true, equal: false };

const AddressText = Schema.String.check(
  Schema.isPattern(/^[0-9.]+:\d{1,5}$/, { expected: 'ip:port' }),
);

const Positive = Schema.Number.check(
  Schema.makeFilter((value: number) => value > 0, { expected: 'a number above 0' }),
);

const BootFile = Schema.Struct({
  node: Schema.String,
  ip: Schema.String,
  zone: Schema.String,
  region: Schema.String,
  /** Regions by zone. */
  zones: Schema.optionalKey(Schema.Record(Schema.String, Schema.Unknown)),
  /** First and last port for connections between the system's processes. */
  port_range: Schema.Tuple([Positive, Positive]),
  heartbeat_ms: Positive,
  /** Address of the worker of a `side` machine. */
  app: Schema.optionalKey(AddressText),
  /** Service of the agent's worker. */
  backend: Schema.optionalKey(Schema.String),
  /** Address of the policy service. */
  hint: Schema.optionalKey(Schema.String),
  listen: Schema.Struct({
    front: Schema.optionalKey(AddressText),
    ready: Schema.optionalKey(AddressText),
    /** Address to which the agent's worker sends heartbeats. */
    control: Schema.optionalKey(AddressText),
  }),
  platform: Schema.Struct({
    addr: AddressText,
    ttl_min_ms: Positive,
    /** Largest value that the store takes. */
    value_bytes: Schema.optionalKey(Positive),
    /** Calls that the store takes from all processes together. */
    reads_per_s: Schema.optionalKey(Positive),
    writes_per_s: Schema.optionalKey(Positive),
  }),
  /** What the process may use. */
  limits: Schema.optionalKey(
    Schema.Struct({
      memory_mb: Schema.optionalKey(Positive),
      max_fds: Schema.optionalKey(Positive),
    }),
  ),
  bounds: Schema.Struct({
    grace_s: Positive,
    /** Longest task lease. */
    hold_max_ms: Positive,
    /** Factor by which a task with remote data, or a gang on several racks, takes longer. */
    far_x: Schema.optionalKey(Positive),
    status_s: Positive,
    revoke_ms: Positive,
    /** Time in which the end of a run has to be acknowledged. */
    ack_ms: Schema.optionalKey(Positive),
    gang_ms: Positive,
    /** Time in which a task resumes from a checkpoint. */
    restore_ms: Schema.optionalKey(Positive),
    /** Time after which nothing starts in an evacuated zone. */
    evacuate_ms: Schema.optionalKey(Positive),
  }),
});

type BootFile = typeof BootFile.Type;

/** Programs on one machine share its port range: each has its own offset into it. */
const PORT_OFFSETS = { entry: 0, scheduler: 1, agent: 0 } as const;

/** A program that serves pools. */
export type PoolProgram = keyof typeof PORT_OFFSETS;

const MS_PER_S = 1000;
const BYTES_PER_MB = 1_048_576;

/** Where the platform does not tell how long a task takes to resume; the known ones say 100 to 600 ms. */
const DEFAULT_RESTORE_MS = 250;

/**
 * @param text - `ip:port`
 * @returns the address
 */
const parseAddress = (text: string): http.Address => {
  const [host = '', port = ''] = text.split(':');
  return { host, port: Number(port) };
};

const optionalAddress = <TName extends string>(
  name: TName,
  text: string | undefined,
): Partial<Record<TName, http.Address>> =>
  text === undefined || text === ''
    ? {}
    : ({ [name]: parseAddress(text) } as Record<TName, http.Address>);

const peerAddress = (file: BootFile, program: PoolProgram): http.Address => ({
  host: file.ip,
  port: file.port_range[0] + PORT_OFFSETS[program],
});

const parseSpeedsVariable = (text = 'learn'): boolean => {
  const learns = LEARNS_SPEEDS[text];
  if (learns !== undefined) return learns;
  const names = Object.keys(LEARNS_SPEEDS).join(' or ');
  throw errors.fail('invalidRequest', `${SPEEDS_VARIABLE} must be ${names}, not "${text}"`, {
    field: SPEEDS_VARIABLE,
  });
};

const parseClientLimits = (text = '{}'): clientLimits.ClientLimitSettings => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    throw errors.fail('invalidRequest', `${CLIENT_LIMITS_VARIABLE}: not JSON: ${text}`, {
      field: CLIENT_LIMITS_VARIABLE,
    });
  }
  return schemaIssues.decodeOrFail(
    clientLimits.ClientLimitSettings,
    parsed,
    CLIENT_LIMITS_VARIABLE,
  );
};

const toProcessBudget = ({
  limits,
  platform,
}: BootFile): poolSettings.PoolSettings['processBudget'] => ({
  ...(limits?.memory_mb === undefined ? {} : { memoryBytes: limits.memory_mb * BYTES_PER_MB }),
  ...(limits?.max_fds === undefined ? {} : { maxDescriptors: limits.max_fds }),
  ...(platform.reads_per_s === undefined ? {} : { storeReadsPerS: platform.reads_per_s }),
  ...(platform.writes_per_s === undefined ? {} : { storeWritesPerS: platform.writes_per_s }),
});

/** Environment of a process. */
type Environment = Readonly<Record<string, string | undefined>>;

const toSettings = (
  file: BootFile,
  program: PoolProgram,
  environment: Environment,
): poolSettings.PoolSettings => ({
  nodeId: file.node,
  zone: file.zone,
  region: file.region,
  zones: Object.keys(file.zones ?? {}),
  peers: peerAddress(file, program),
  ...(program === 'scheduler' ? { ownEntry: peerAddress(file, 'entry') } : {}),
  ...optionalAddress('front', file.listen.front),
  ...optionalAddress('readiness', file.listen.ready),
  ...optionalAddress('heartbeats', file.listen.control),
  ...optionalAddress('worker', file.app),
  ...(file.backend === undefined ? {} : { service: file.backend }),
  ...optionalAddress('advice', file.hint),
  store: parseAddress(file.platform.addr),
  heartbeatMs: file.heartbeat_ms,
  graceMs: file.bounds.grace_s * MS_PER_S,
  maxLeaseMs: file.bounds.hold_max_ms,
  remoteFactor: Math.max(1, file.bounds.far_x ?? 1),
  restoreMs: file.bounds.restore_ms ?? DEFAULT_RESTORE_MS,
  statusRetentionMs: file.bounds.status_s * MS_PER_S,
  maxRevocationMs: file.bounds.revoke_ms,
  maxAcknowledgementMs: file.bounds.ack_ms ?? 0,
  gangStartTimeoutMs: file.bounds.gang_ms,
  ...(file.bounds.evacuate_ms === undefined ? {} : { maxEvacuationMs: file.bounds.evacuate_ms }),
  learnsWorkerSpeeds: parseSpeedsVariable(environment[SPEEDS_VARIABLE]),
  minStoreLeaseMs: file.platform.ttl_min_ms,
  maxStoreValueBytes: file.platform.value_bytes ?? store.MAX_VALUE_BYTES,
  processBudget: toProcessBudget(file),
  clientLimits: parseClientLimits(environment[CLIENT_LIMITS_VARIABLE]),
});

/**
 * @param text - content of the settings file
 * @param path - its path, for error messages
 * @param program - which program reads it
 * @param environment - the process's environment variables
 * @returns the program's settings
 * @throws AuburnliftError `invalidRequest` that names the file, or the variable, and the field
 */
export const parseBootSettings = (
  text: string,
  path: string,
  program: PoolProgram,
  environment: Environment = {},
): poolSettings.PoolSettings => {
  let parsed: unknown;
  try {
    parsed = toml.parse(text);
  } catch (thrown) {
    throw errors.fail('invalidRequest', `${path}: not TOML: ${errors.normalize(thrown).message}`);
  }
  const file = schemaIssues.decodeOrFail(BootFile, parsed, path, schemaIssues.Excess.ignore);
  return toSettings(file, program, environment);
};

/**
 * @returns path of the settings file
 * @throws AuburnliftError `invalidRequest` if the variable is not set
 */
export const bootSettingsPath = (): string => {
  const path = process.env[PATH_VARIABLE];
  if (path === undefined || path === '') {
    throw errors.fail('invalidRequest', `${PATH_VARIABLE} must name the settings file`, {
      field: PATH_VARIABLE,
    });
  }
  return path;
};

/**
 * @param path - path of the settings file
 * @param program - which program reads it
 * @returns the program's settings
 * @throws AuburnliftError `invalidRequest` if the file can't be read or is invalid
 */
export const readBootSettings = (path: string, program: PoolProgram): poolSettings.PoolSettings => {
  let text: string;
  try {
    text = fs.readFileSync(path, 'utf8');
  } catch (thrown) {
    throw errors.fail('invalidRequest', `${path}: ${errors.normalize(thrown).message}`);
  }
  return parseBootSettings(text, path, program, process.env);
};
