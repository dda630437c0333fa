/**
 * Fields common to all messages between processes.
 */
import * as Schema from 'effect/Schema';

import * as units from '../../state/common/units.js';

/** The sender of a message and its active configuration version. */
export const Sender = Schema.Struct({
  processId: units.Id,
  role: Schema.Literals(['entry', 'scheduler', 'agent', 'client']),
  /** Version of the sender's active configuration. */
  configVersion: units.Count,
});

/** See {@link Sender}. */
export type Sender = typeof Sender.Type;
