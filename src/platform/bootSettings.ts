/**
 * The platform's settings file (TOML), decoded into the product's settings. Fields that are not known
 * here are ignored: new ones may come.
 */
import * as fs from 'node:fs';

import * as Schema from 'effect/Schema';
import * as toml from 'smol-toml';

import * as errors from '../base/common/errors.js';
import type * as http from '../base/common/http.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';

/** Variable that holds the path of the settings file. */
const PATH_VARIABLE = 'AUBURNLIFT_BOOT';

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
  /** First and last port that the processes may use among themselves. */
  port_range: Schema.Tuple([Positive, Positive]),
  heartbeat_ms: Positive,
  /** Where the worker of a `side` machine answers. */
  app: Schema.optionalKey(AddressText),
  /** Service of the worker beside the agent. */
  backend: Schema.optionalKey(Schema.String),
  /** The policy service. */
  hint: Schema.optionalKey(Schema.String),
  listen: Schema.Struct({
    front: Schema.optionalKey(AddressText),
    ready: Schema.optionalKey(AddressText),
    /** Where the worker beside an agent sends its heartbeats. */
    control: Schema.optionalKey(AddressText),
  }),
  platform: Schema.Struct({ addr: AddressText, ttl_min_ms: Positive }),
  bounds: Schema.Struct({
    grace_s: Positive,
    /** The longest lease of a task. */
    hold_max_ms: Positive,
    /** A task away from its data, or a gang on several racks, takes this many times as long. */
    far_x: Schema.optionalKey(Positive),
    status_s: Positive,
    revoke_ms: Positive,
    gang_ms: Positive,
  }),
});

type BootFile = typeof BootFile.Type;

/** Programs of one machine share its ports: each has its own among those between processes. */
const PORT_OFFSETS = { entry: 0, scheduler: 1, agent: 0 } as const;

/** A program that serves pools. */
export type PoolProgram = keyof typeof PORT_OFFSETS;

const MS_PER_S = 1000;

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

const toSettings = (file: BootFile, program: PoolProgram): poolSettings.PoolSettings => ({
  nodeId: file.node,
  zone: file.zone,
  region: file.region,
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
  farFactor: Math.max(1, file.bounds.far_x ?? 1),
  statusMs: file.bounds.status_s * MS_PER_S,
  revokeMs: file.bounds.revoke_ms,
  gangMs: file.bounds.gang_ms,
  minStoreLeaseMs: file.platform.ttl_min_ms,
});

/**
 * @param text - content of the settings file
 * @param path - its path, for messages
 * @param program - which program reads it
 * @returns the program's settings
 * @throws AuburnliftError `invalidRequest` that names the file and the field
 */
export const parseBootSettings = (
  text: string,
  path: string,
  program: PoolProgram,
): poolSettings.PoolSettings => {
  let parsed: unknown;
  try {
    parsed = toml.parse(text);
  } catch (thrown) {
    throw errors.fail('invalidRequest', `${path}: not TOML: ${errors.normalize(thrown).message}`);
  }
  const file = schemaIssues.decodeOrFail(BootFile, parsed, path, schemaIssues.Excess.ignore);
  return toSettings(file, program);
};

/**
 * @returns path of the settings file
 * @throws AuburnliftError `invalidRequest` where the variable is not set
 */
export const bootPath = (): string => {
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
 * @throws AuburnliftError `invalidRequest` where the file can't be read or does not fit
 */
export const readBootSettings = (path: string, program: PoolProgram): poolSettings.PoolSettings => {
  let text: string;
  try {
    text = fs.readFileSync(path, 'utf8');
  } catch (thrown) {
    throw errors.fail('invalidRequest', `${path}: ${errors.normalize(thrown).message}`);
  }
  return parseBootSettings(text, path, program);
};
