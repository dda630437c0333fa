/**
 * Reads processor time and memory of a process from the kernel.
 */
import * as fs from 'node:fs';

/** Clock ticks per second in Linux process accounting. */
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1000;
const BYTES_PER_KIB = 1024;

/** Field indexes in `/proc/PID/stat`, counted after the process name in parentheses. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * @param processId - a child process
 * @returns processor time since its start in milliseconds, with a resolution of ten
 */
export const cpuMsOf = (processId: number): number => {
  const stat = fs.readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks / TICKS_PER_SECOND) * MS_PER_SECOND;
};

/**
 * @param processId - a child process
 * @returns its resident memory in bytes
 */
export const residentBytesOf = (processId: number): number => {
  const status = fs.readFileSync(`/proc/${processId}/status`, 'utf8');
  const [, kib] = /VmRSS:\s+(\d+) kB/.exec(status) ?? [];
  return Number(kib ?? 0) * BYTES_PER_KIB;
};

/** @returns processor time of this process since its start, in milliseconds */
export const ownCpuMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MS_PER_SECOND;
};
