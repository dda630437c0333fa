/**
 * Schema of `deployment.jsonc`: the machines of a deployment that `auburnlift dev` hosts.
 */
import * as Schema from 'effect/Schema';

import * as units from '../state/common/units.js';

/** One availability zone with its VMs; each VM holds an upstream instance and a worker. */
const Zone = Schema.Struct({
  region: units.Id,
  zone: units.Id,
  entries: units.integerBetween(1, 8),
  vms: units.integerBetween(1, 64),
});

/** The machines of a deployment. */
export const Deployment = Schema.Struct({
  name: units.ShortText,
  zones: Schema.Array(Zone).check(Schema.isMinLength(1)),
  workersPerRack: units.integerBetween(1, 64),
  worker: Schema.Struct({
    accelerators: units.integerBetween(1, 64),
    cores: units.integerBetween(1, 4096),
    memoryBytes: units.Count,
  }),
  upstream: Schema.Struct({
    slots: units.integerBetween(1, 4096),
    connections: units.integerBetween(1, 65_536),
    serviceMs: units.DurationMs,
  }),
});

/** See {@link Deployment}. */
export type Deployment = typeof Deployment.Type;
