/**
 * The part of the operators' configuration that a pool works by.
 */
import type * as poolJob from './poolJob.js';

/** A queue of jobs and how it is reached. */
export interface Queue {
  readonly policy: poolJob.QueuePolicy;
  /** Host name that calls of the queue carry. */
  readonly host: string;
  /** What the path of its calls begins with. */
  readonly pathPrefix: string;
  /** Needs no credential. */
  readonly isPublic: boolean;
  readonly timeoutMs: number;
}

/** A service whose workers run tasks. */
export interface Service {
  readonly name: string;
  /** Path at which a worker tells its health. */
  readonly healthPath: string;
  /** Its machines are switched off until they are moved to another pool. */
  readonly isStandby: boolean;
}

/** A customer with its credentials and guarantee. */
export interface PoolCustomer {
  readonly customerId: string;
  readonly apiKeys: readonly string[];
  /** Accelerators that belong to its jobs of priority 0 at all times. */
  readonly guaranteedAccelerators: number;
}

/** One version of the configuration. */
export interface PoolConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly Service[];
  readonly customers: readonly PoolCustomer[];
  readonly maxBodyBytes: number;
}

/** A configuration with the revision of the store's record that holds it. */
export interface HeldConfiguration {
  readonly configuration: PoolConfiguration;
  readonly revision: number;
}

/**
 * @param configuration - the configuration in force
 * @param host - host name of a call
 * @param path - path of the call
 * @returns the queue with the longest matching prefix
 */
export const findQueue = (
  configuration: PoolConfiguration,
  host: string,
  path: string,
): Queue | undefined => {
  let best: Queue | undefined;
  for (const queue of configuration.queues) {
    const isMatch = queue.host === host && path.startsWith(queue.pathPrefix);
    if (isMatch && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue;
  }
  return best;
};

/**
 * @param configuration - the configuration in force
 * @param apiKey - credential of a call
 * @returns the customer that it belongs to
 */
export const findCustomer = (
  configuration: PoolConfiguration,
  apiKey: string,
): PoolCustomer | undefined =>
  configuration.customers.find((customer) => customer.apiKeys.includes(apiKey));
