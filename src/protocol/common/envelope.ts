/**
 * What every message between processes carries.
 */
import * as Schema from 'effect/Schema';

import * as units from '../../state/common/units.js';

/** Who sent a message and which configuration it acts on. */
export const Sender = Schema.Struct({
  processId: units.Id,
  role: Schema.Literals(['entry', 'scheduler', 'agent', 'client']),
  /** Highest configuration version that the sender has in force. */
  configVersion: units.Count,
});

/** See {@link Sender}. */
export type Sender = typeof Sender.Type;
