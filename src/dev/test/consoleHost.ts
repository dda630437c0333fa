/**
 * A hosted deployment for tests of the console and of the operators' API.
 */
import * as path from 'node:path';
import * as url from 'node:url';

import * as settingsFile from '../../base/node/settingsFile.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as configuration from '../../state/common/configuration.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as demoClient from '../demoClient.js';
import * as deployment from '../deployment.js';
import * as devHost from '../devHost.js';

const EXAMPLE = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../examples/kamarvaki',
);

/** The hosted deployment. */
export interface ConsoleHost {
  readonly host: devHost.DevHost;
  readonly operatorsUrl: string;
  readonly document: configuration.ConfigurationDocument;
  readonly dispose: () => Promise<void>;
}

const POLL_MS = 50;
const TRIES = 400;

/**
 * @param isDone - asked again and again
 * @returns once it is so
 * @throws Error where it never is
 */
export const until = async (isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  throw new Error('it never happened');
};

/**
 * @returns the example of Kamarvaki, hosted, with every cell led
 */
export const startConsoleHost = async (): Promise<ConsoleHost> => {
  const fileOf = (name: string): string => path.join(EXAMPLE, name);
  const document = settingsFile.readSettings(
    configuration.ConfigurationDocument,
    fileOf('configuration.jsonc'),
  );
  const machines = settingsFile.readSettings(deployment.Deployment, fileOf('deployment.jsonc'));
  const host = await devHost.startDevHost({ deployment: machines, document, logLevel: 'error' });
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
  return { host, operatorsUrl, document, dispose: host.dispose };
};
