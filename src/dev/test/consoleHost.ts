/**
 * A hosted deployment for tests of the console and of the operators' API.
 */
import * as systemClock from '../../base/node/systemClock.js';
import * as polling from '../../standins/test/until.js';
import type * as configuration from '../../state/common/configuration.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as demoClient from '../demoClient.js';
import * as devHost from '../devHost.js';
import * as examples from '../examples.js';

/** A hosted deployment with its configuration. */
export interface ConsoleHost {
  readonly host: devHost.DevHost;
  readonly operatorsUrl: string;
  readonly document: configuration.ConfigurationDocument;
  readonly dispose: () => Promise<void>;
}

/**
 * @param isDone - polled until it returns true
 * @returns once the condition holds
 * @throws AssertionError if it never holds
 */
export const until = (isDone: () => Promise<boolean>): Promise<void> =>
  polling.until('the expected console state', isDone);

/**
 * @returns the hosted `kamarvaki` example, once every cell has a leader
 */
export const startConsoleHost = async (): Promise<ConsoleHost> => {
  const example = examples.readExample('kamarvaki');
  const host = await devHost.startDevHost({ ...example, logLevel: 'error' });
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 20_000,
    maxReplyBytes: 8_388_608,
  });
  const reader = demoClient.createDemoClient(client.call, host.operatorToken);
  const operatorsUrl = host.entries[0]?.program.operatorsUrl ?? '';
  await until(async () => (await reader.cells(operatorsUrl)).every((it) => it.isLed));
  await client.dispose();
  return { host, operatorsUrl, document: example.document, dispose: host.dispose };
};
