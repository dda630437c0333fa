/**
 * The configuration that a process has in force.
 *
 * Guards against going back: a watch, a peer or a restored store may offer an older version, and a
 * process that took it would undo an accepted change. Only a higher version is ever taken.
 */
import * as event from '../../base/common/event.js';
import * as configuration from '../../state/common/configuration.js';

import * as configurationOrder from './configurationOrder.js';

/** What came of a version that was offered. */
export const Adoption = {
  adopted: 'adopted',
  alreadyInForce: 'alreadyInForce',
  /** It is older than what is in force, or differs from it under the same version. */
  refused: 'refused',
} as const;

/** One of the values of {@link Adoption}. */
export type Adoption = (typeof Adoption)[keyof typeof Adoption];

/** Holds the version in force. */
export interface ConfigurationHolder {
  readonly current: () => configuration.ConfigurationRecord | undefined;
  /** Version in force, `NO_VERSION` before the first. */
  readonly version: () => number;
  readonly offer: (record: configuration.ConfigurationRecord) => Adoption;
  readonly onDidChange: event.Event<configuration.ConfigurationRecord>;
}

/**
 * @returns a holder without configuration
 */
export const createConfigurationHolder = (): ConfigurationHolder => {
  const emitter = event.createEmitter<configuration.ConfigurationRecord>();
  let current: configuration.ConfigurationRecord | undefined;
  const version = (): number => current?.version ?? configuration.NO_VERSION;
  return {
    current: () => current,
    version,
    offer: (record) => {
      const order = configurationOrder.orderOf(record, current);
      if (order === configurationOrder.Order.same) return Adoption.alreadyInForce;
      if (order !== configurationOrder.Order.newer) return Adoption.refused;
      current = record;
      emitter.fire(record);
      return Adoption.adopted;
    },
    onDidChange: emitter.event,
  };
};
