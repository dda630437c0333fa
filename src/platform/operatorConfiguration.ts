/**
 * The operators' configuration as the platform stores it, decoded into the pool's configuration.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as poolConfiguration from '../state/common/pool/poolConfiguration.js';

/** Prefix of the records that evacuate zones; the rest of a key is the zone. Their values mean nothing. */
export const EVACUATIONS_PREFIX = 'op/evacuate/';

/** Key of the record with the newest configuration. */
export const CONFIGURATION_KEY = 'op/config';

const Route = Schema.Struct({
  name: Schema.String,
  host: Schema.optionalKey(Schema.String),
  prefix: Schema.String,
  timeout_ms: Schema.optionalKey(Schema.Number),
  /** Time that a job may take beyond its work and still meet its deadline. */
  slo_ms: Schema.optionalKey(Schema.Number),
  prio: Schema.optionalKey(Schema.Number),
  /** Service whose workers run the queue's tasks. */
  backend: Schema.optionalKey(Schema.String),
  attempts: Schema.optionalKey(Schema.Number),
  stretch: Schema.optionalKey(Schema.Number),
  public: Schema.optionalKey(Schema.Boolean),
  /** Present if the policy service has to approve each start. */
  hint: Schema.optionalKey(Schema.Unknown),
});

const Service = Schema.Struct({
  name: Schema.String,
  health_path: Schema.optionalKey(Schema.String),
  standby: Schema.optionalKey(Schema.Boolean),
});

const Tenant = Schema.Struct({
  name: Schema.String,
  api_keys: Schema.optionalKey(Schema.Array(Schema.String)),
  guaranteed: Schema.optionalKey(Schema.Struct({ gpu: Schema.optionalKey(Schema.Number) })),
});

const Configuration = Schema.Struct({
  version: Schema.Number,
  routes: Schema.optionalKey(Schema.Array(Route)),
  services: Schema.optionalKey(Schema.Array(Service)),
  tenants: Schema.optionalKey(Schema.Array(Tenant)),
  limits: Schema.optionalKey(Schema.Struct({ max_body_bytes: Schema.optionalKey(Schema.Number) })),
});

/** Timeout of calls to a queue without a timeout of its own. */
const DEFAULT_TIMEOUT_MS = 3000;

const DEFAULT_MAX_BODY_BYTES = 262_144;

const toQueue = (route: typeof Route.Type): poolConfiguration.Queue => ({
  policy: {
    queue: route.name,
    service: route.backend ?? '',
    priority: route.prio ?? 0,
    attempts: route.attempts ?? 1,
    stretch: route.stretch ?? 1,
    objectiveMs: route.slo_ms ?? 0,
    needsAdvice: route.hint !== undefined,
  },
  host: route.host ?? '',
  pathPrefix: route.prefix,
  isPublic: route.public ?? false,
  timeoutMs: route.timeout_ms ?? DEFAULT_TIMEOUT_MS,
});

/**
 * @param text - the value of the record
 * @returns the configuration
 * @throws AuburnliftError `invalidRequest` if it can't be decoded
 */
export const decodeConfiguration = (text: string): poolConfiguration.PoolConfiguration => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    throw errors.fail('invalidRequest', 'the configuration is not JSON');
  }
  const wire = schemaIssues.decodeOrFail(
    Configuration,
    parsed,
    'the configuration',
    schemaIssues.Excess.ignore,
  );
  return {
    version: wire.version,
    queues: (wire.routes ?? []).map(toQueue),
    services: (wire.services ?? []).map((it) => ({
      name: it.name,
      healthPath: it.health_path ?? '',
      isStandby: it.standby ?? false,
    })),
    customers: (wire.tenants ?? []).map((it) => ({
      customerId: it.name,
      apiKeys: it.api_keys ?? [],
      guaranteedAccelerators: it.guaranteed?.gpu ?? 0,
    })),
    maxBodyBytes: wire.limits?.max_body_bytes ?? DEFAULT_MAX_BODY_BYTES,
  };
};
