/**
 * Operations of operators as the entry implements them; used by the API and the console.
 */
import type * as configuration from '../../state/common/configuration.js';
import type * as configurationDifference from '../../state/common/configurationDifference.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as job from '../../state/common/job.js';
import type * as entrySchedulerMessages from '../../protocol/common/entrySchedulerMessages.js';
import type * as configurationStore from '../../coordination/node/configurationStore.js';

/** Summary of a cell for the list of cells. */
export interface CellSummary {
  readonly cell: string;
  readonly region: string;
  readonly leaderId: string;
  readonly epoch: number;
  readonly isLed: boolean;
}

/** A configuration change with the effects that the operator accepts. */
export interface OperatorChange extends configurationStore.ConfigurationChange {
  /** Whether the change may take guarantees from running guaranteed jobs. */
  readonly isStrandingAccepted: boolean;
}

/** Differences and effects of a change that has not been written. */
export interface ChangePreview {
  readonly baseVersion: number;
  readonly changes: readonly configurationDifference.DocumentChange[];
  readonly effects: readonly configurationDifference.ChangeEffect[];
}

/** The active configuration version of one process. */
export interface ProcessVersion {
  readonly processId: string;
  readonly role: string;
  readonly zone: string;
  /** Undefined if the process does not respond. */
  readonly version: number | undefined;
}

/** Rollout of the current configuration version. */
export interface ConfigurationStatus {
  readonly version: number;
  readonly writtenAtMs: number;
  readonly processes: readonly ProcessVersion[];
  /** Ids of processes that have an older version or do not respond. */
  readonly stragglers: readonly string[];
  /**
   * Time from the write to the first poll, at two polls a second, that found the version active at every
   * process; undefined before that, and at entries that did not handle the write.
   */
  readonly inForceAfterMs: number | undefined;
  /** Problems with the stored copy of the configuration. */
  readonly warnings: readonly string[];
}

/** An earlier version without its document. */
export type VersionSummary = Omit<configuration.ConfigurationRecord, 'document'>;

/** State of an upstream as known to an entry of its region. */
export interface UpstreamSummary {
  readonly upstreamId: string;
  readonly agentId: string;
  readonly zone: string;
  readonly region: string;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** Jobs of all cells whose leader responded. */
export interface JobList {
  readonly jobs: readonly job.JobRecord[];
  /** Cells whose leader did not respond. */
  readonly unansweredCells: readonly string[];
}

/** Operations of operators. */
export interface OperatorGateway {
  readonly configuration: () => configuration.ConfigurationRecord | undefined;
  readonly writeConfiguration: (
    change: OperatorChange,
  ) => Promise<configuration.ConfigurationRecord>;
  /** Returns the differences and effects of a change without writing it. */
  readonly previewConfiguration: (
    baseVersion: number,
    document: configuration.ConfigurationDocument,
  ) => Promise<ChangePreview>;
  readonly history: () => Promise<readonly VersionSummary[]>;
  readonly historyVersion: (version: number) => Promise<configuration.ConfigurationRecord>;
  readonly status: () => Promise<ConfigurationStatus>;
  readonly cells: () => Promise<readonly CellSummary[]>;
  readonly cell: (cell: string) => Promise<entrySchedulerMessages.CellReply>;
  readonly quarantine: (
    cell: string,
    workerId: string,
    isQuarantined: boolean,
    reason: string,
  ) => Promise<entrySchedulerMessages.CellReply>;
  readonly jobs: () => Promise<JobList>;
  readonly upstreams: () => Promise<readonly UpstreamSummary[]>;
  readonly drainUpstream: (upstreamId: string, isDraining: boolean) => Promise<UpstreamSummary>;
  readonly ledger: (cell: string) => Promise<readonly ledgerEntry.LedgerHour[]>;
}
