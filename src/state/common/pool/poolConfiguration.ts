/**
 * The part of the operators' configuration that pools use.
 */
import type * as poolJob from './poolJob.js';

/** A queue of jobs and the route to it. */
export interface Queue {
  readonly policy: poolJob.QueuePolicy;
  /** Host name of calls to the queue. */
  readonly host: string;
  /** Path prefix of calls to the queue. */
  readonly pathPrefix: string;
  /** Calls need no credential. */
  readonly isPublic: boolean;
  readonly timeoutMs: number;
}

/** A service whose workers run tasks. */
export interface Service {
  readonly name: string;
  /** Path of a worker's health check. */
  readonly healthPath: string;
  /** Its machines are powered off until they are moved to another pool. */
  readonly isStandby: boolean;
}

/** A customer with its credentials and its guarantee. */
export interface PoolCustomer {
  readonly customerId: string;
  readonly apiKeys: readonly string[];
  /** Accelerators that are guaranteed to its jobs of priority 0 at all times. */
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

/** A configuration with the revision of its record in the store. */
export interface StoredConfiguration {
  readonly configuration: PoolConfiguration;
  readonly revision: number;
}

/**
 * @param configuration - the active configuration
 * @param host - host name of a call
 * @param path - path of the call
 * @returns the queue with the longest matching prefix
 */
export const findQueue = (
  configuration: PoolConfiguration,
  host: string,
  path: string,
): Queue | undefined => {
  let longest: Queue | undefined;
  for (const queue of configuration.queues) {
    const isMatch = queue.host === host && path.startsWith(queue.pathPrefix);
    if (isMatch && queue.pathPrefix.length > (longest?.pathPrefix.length ?? -1)) longest = queue;
  }
  return longest;
};

/**
 * @param configuration - the active configuration
 * @param apiKey - credential of a call
 * @returns the customer to whom it belongs
 */
export const findCustomer = (
  configuration: PoolConfiguration,
  apiKey: string,
): PoolCustomer | undefined =>
  configuration.customers.find((customer) => customer.apiKeys.includes(apiKey));
