/**
 * What operators can do, as the entry does it. The API and the console both stand on it.
 */
import type * as configuration from '../../state/common/configuration.js';
import type * as configurationDifference from '../../state/common/configurationDifference.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as job from '../../state/common/job.js';
import type * as entrySchedulerMessages from '../../protocol/common/entrySchedulerMessages.js';
import type * as configurationStore from '../../coordination/node/configurationStore.js';

/** One line of the list of cells. */
export interface CellSummary {
  readonly cell: string;
  readonly region: string;
  readonly leaderId: string;
  readonly epoch: number;
  readonly isLed: boolean;
}

/** A change with what the operator accepts of its effects. */
export interface OperatorChange extends configurationStore.ConfigurationChange {
  /** Whether running guaranteed jobs may lose their guarantee. */
  readonly isStrandingAccepted: boolean;
}

/** What a change would do. */
export interface ChangePreview {
  readonly baseVersion: number;
  readonly changes: readonly configurationDifference.DocumentChange[];
  readonly effects: readonly configurationDifference.ChangeEffect[];
}

/** The configuration version that one process has in force. */
export interface ProcessVersion {
  readonly processId: string;
  readonly role: string;
  readonly zone: string;
  /** Undefined where the process does not answer. */
  readonly version: number | undefined;
}

/** How far the configuration has come. */
export interface ConfigurationStatus {
  readonly version: number;
  readonly writtenAtMs: number;
  readonly processes: readonly ProcessVersion[];
  /** Ids of processes with an older version, or without an answer. */
  readonly stragglers: readonly string[];
  /**
   * From the write to the first look that found every process at the version, twice a second;
   * undefined before that, and at entries that did not take the write.
   */
  readonly inForceAfterMs: number | undefined;
  /** What is wrong with the store's copy. */
  readonly warnings: readonly string[];
}

/** An earlier version without its document. */
export type VersionSummary = Omit<configuration.ConfigurationRecord, 'document'>;

/** One upstream as an entry of its region knows it. */
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

/** Jobs of all cells that answered. */
export interface JobList {
  readonly jobs: readonly job.JobRecord[];
  /** Cells whose leader did not answer. */
  readonly unansweredCells: readonly string[];
}

/** What operators can do. */
export interface OperatorGateway {
  readonly configuration: () => configuration.ConfigurationRecord | undefined;
  readonly writeConfiguration: (
    change: OperatorChange,
  ) => Promise<configuration.ConfigurationRecord>;
  /** Says what a change would do, without writing. */
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
