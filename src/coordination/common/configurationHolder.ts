/**
 * The active configuration of a process.
 *
 * Guards against a downgrade: a watch, a peer or a restored store may offer an older version, which
 * would undo an accepted change. Only a higher version is applied.
 */
import * as event from '../../base/common/event.js';
import * as configuration from '../../state/common/configuration.js';

import * as configurationOrder from './configurationOrder.js';

/** Result of offering a version. */
export const Adoption = {
  adopted: 'adopted',
  alreadyInForce: 'alreadyInForce',
  /** It is older than the active one, or has the same version but another write id. */
  refused: 'refused',
} as const;

/** One of the values of {@link Adoption}. */
export type Adoption = (typeof Adoption)[keyof typeof Adoption];

/** Holds the active configuration. */
export interface ConfigurationHolder {
  readonly current: () => configuration.ConfigurationRecord | undefined;
  /** Active version, `NO_VERSION` before the first. */
  readonly version: () => number;
  readonly offer: (record: configuration.ConfigurationRecord) => Adoption;
  readonly onDidChange: event.Event<configuration.ConfigurationRecord>;
}

/**
 * @returns a holder without a configuration
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
