/**
 * The deployments under `examples/`.
 */
import * as path from 'node:path';
import * as url from 'node:url';

import * as settingsFile from '../base/node/settingsFile.js';
import * as configuration from '../state/common/configuration.js';

import * as deployment from './deployment.js';

/** Names of the examples. */
export const EXAMPLE_NAMES = ['kamarvaki', 'vanua-paws'] as const;

/** A deployment with its first configuration. */
export interface Example {
  readonly deployment: deployment.Deployment;
  readonly document: configuration.ConfigurationDocument;
}

const EXAMPLES = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../examples');

/**
 * @param name - one of {@link EXAMPLE_NAMES}
 * @returns the example as read from its files
 * @throws AuburnliftError `invalidRequest` that names the file, line and field
 */
export const readExample = (name: string): Example => {
  const fileOf = (file: string): string => path.join(EXAMPLES, name, file);
  return {
    deployment: settingsFile.readSettings(deployment.Deployment, fileOf('deployment.jsonc')),
    document: settingsFile.readSettings(
      configuration.ConfigurationDocument,
      fileOf('configuration.jsonc'),
    ),
  };
};
