/**
 * The contract with an upstream: it announces itself to the agent on its VM and serves requests.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** What an upstream tells its agent, every few seconds and before it leaves. */
export const Announcement = Schema.Struct({
  upstreamId: units.Id,
  /** Where it serves requests. */
  url: units.Url,
  /** Requests that it works on at once. */
  slots: units.integerBetween(1, 4096),
  /** Connections that it accepts. */
  connections: units.integerBetween(1, 65_536),
  /** It finishes what it has and takes nothing new. */
  isLeaving: Schema.Boolean,
});

/** See {@link Announcement}. */
export type Announcement = typeof Announcement.Type;
