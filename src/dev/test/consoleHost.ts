/**
 * A hosted deployment for tests of the console and of the operators' API.
 */
import * as systemClock from '../../base/node/systemClock.js';
import * as waiting from '../../standins/test/until.js';
import type * as configuration from '../../state/common/configuration.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as demoClient from '../demoClient.js';
import * as devHost from '../devHost.js';
import * as examples from '../examples.js';

/** The hosted deployment. */
export interface ConsoleHost {
  readonly host: devHost.DevHost;
  readonly operatorsUrl: string;
  readonly document: configuration.ConfigurationDocument;
  readonly dispose: () => Promise<void>;
}

/**
 * @param isDone - asked again and again
 * @returns once it is so
 * @throws AssertionError where it never is
 */
export const until = (isDone: () => Promise<boolean>): Promise<void> =>
  waiting.until('what the console shows', isDone);

/**
 * @returns the example of Kamarvaki, hosted, with every cell led
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
