/**
 * Settings of the programs that serve pools, as the platform's adapter decodes them.
 */
import type * as http from '../../../base/common/http.js';

/** What a process is told when it starts, and again when its settings change. */
export interface PoolSettings {
  /** The machine; unique at any time, and given again to nobody while it lives. */
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** Where other processes of the system reach this one. */
  readonly peers: http.Address;
  /** Where a scheduler reaches the entry on its own machine; absent for other programs. */
  readonly ownEntry?: http.Address;
  /** Where clients reach an entry; absent for other programs. */
  readonly front?: http.Address;
  /** Where an entry is asked whether it wants new connections. */
  readonly readiness?: http.Address;
  /** Where an agent hears its worker. */
  readonly heartbeats?: http.Address;
  /** Where an agent reaches its worker. */
  readonly worker?: http.Address;
  /** Service whose worker stands beside an agent. */
  readonly service?: string;
  readonly store: http.Address;
  /** The policy service, where queues need its consent. */
  readonly advice?: http.Address;
  /** A worker says that it lives about this often. */
  readonly heartbeatMs: number;
  /** A stopped process is killed after this time. */
  readonly graceMs: number;
  readonly maxLeaseMs: number;
  /** How much longer a task takes away from its data or its rack. */
  readonly farFactor: number;
  /** A job's state is told at least this long after its end. */
  readonly statusMs: number;
  /** A withdrawn credential must be refused this long after the withdrawal. */
  readonly revokeMs: number;
  /** A gang's members wait this long for each other. */
  readonly gangMs: number;
  /** Shortest lease that the store grants. */
  readonly minStoreLeaseMs: number;
}
