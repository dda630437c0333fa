/**
 * Settings of the programs that serve pools, as the platform's adapter decodes them.
 */
import type * as http from '../../../base/common/http.js';
import type * as clientLimits from '../clientLimits.js';

/** Settings that a process reads when it starts and again when they change. */
export interface PoolSettings {
  /** Id of the machine; unique at any time, and not reused while the machine exists. */
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** All zones of the deployment; empty if they are not known. */
  readonly zones: readonly string[];
  /** Address for other processes of the system. */
  readonly peers: http.Address;
  /** Address of the entry on a scheduler's own machine; absent for other programs. */
  readonly ownEntry?: http.Address;
  /** Address of an entry for clients; absent for other programs. */
  readonly front?: http.Address;
  /** Address of an entry's readiness check, which tells whether it wants new connections. */
  readonly readiness?: http.Address;
  /** Address at which an agent receives its worker's heartbeats. */
  readonly heartbeats?: http.Address;
  /** Address of an agent's worker. */
  readonly worker?: http.Address;
  /** Service of an agent's worker. */
  readonly service?: string;
  readonly store: http.Address;
  /** Address of the policy service, if queues need its approval. */
  readonly advice?: http.Address;
  /** Approximate interval of a worker's heartbeats. */
  readonly heartbeatMs: number;
  /** Time after which a process that was asked to stop is killed. */
  readonly graceMs: number;
  readonly maxLeaseMs: number;
  /** Factor by which a task takes longer on remote data or when its gang spans racks. */
  readonly remoteFactor: number;
  /** Time that a task takes to resume from a checkpoint. */
  readonly restoreMs: number;
  /** A job's state must be available for at least this long after its end. */
  readonly statusRetentionMs: number;
  /** A revoked credential must be refused within this time after its revocation. */
  readonly maxRevocationMs: number;
  /** The end of a run must be acknowledged within this time after its worker lists it; 0 if not known. */
  readonly maxAcknowledgementMs: number;
  /** How long a gang's members wait for each other. */
  readonly gangStartTimeoutMs: number;
  /** Nothing starts in a zone later than this after its evacuation; absent where zones are never evacuated. */
  readonly maxEvacuationMs?: number;
  /** Whether the leader learns how fast workers are; otherwise all count as equal. */
  readonly learnsWorkerSpeeds: boolean;
  /** Shortest lease that the store grants. */
  readonly minStoreLeaseMs: number;
  /** Largest value that the store takes. */
  readonly maxStoreValueBytes: number;
  /** What the platform lets the process use; the heap is the runtime's own setting. */
  readonly processBudget: Omit<clientLimits.ProcessBudget, 'heapBytes'>;
  /** Limits on clients that are set; the others have defaults. */
  readonly clientLimits: clientLimits.ClientLimitSettings;
}
