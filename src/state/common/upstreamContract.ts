/**
 * The contract with an upstream: it announces itself to the agent on its VM and serves requests.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** An upstream's announcement to its agent, sent every few seconds and before it shuts down. */
export const Announcement = Schema.Struct({
  upstreamId: units.Id,
  /** Address at which it serves requests. */
  url: units.Url,
  /** Requests that it processes concurrently. */
  slots: units.integerBetween(1, 4096),
  /** Maximum number of connections that it accepts. */
  connections: units.integerBetween(1, 65_536),
  /** It is draining: it completes its requests and accepts no new ones. */
  isLeaving: Schema.Boolean,
});

/** See {@link Announcement}. */
export type Announcement = typeof Announcement.Type;
