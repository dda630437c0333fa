/**
 * The project's measurements by name.
 */
import * as requestsBench from './requestsBench.js';
import * as rpcBench from './rpcBench.js';

/** Runs a measurement with its arguments and prints its lines. */
export type Bench = (args: readonly string[], print: (line: string) => void) => Promise<void>;

/** All measurements. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  requests: requestsBench.runRequestsBench,
  rpc: rpcBench.runRpcBench,
};
