/**
 * `auburnlift dev`: runs the whole system with stand-ins in one process, for evaluation and for
 * development.
 */
import * as oclif from '@oclif/core';

import * as systemClock from '../base/node/systemClock.js';
import * as demo from '../dev/demo.js';
import * as demoClient from '../dev/demoClient.js';
import * as devHost from '../dev/devHost.js';
import * as examples from '../dev/examples.js';
import * as standinHost from '../dev/standinHost.js';
import type * as configuration from '../state/common/configuration.js';
import * as httpClient from '../transport/node/httpClient.js';

const MAX_REPLY_BYTES = 8_388_608;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const untilSignal = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });

/** The command. */
export class DevCommand extends oclif.Command {
  static override readonly summary = 'Run every role and stand-in in one process on loopback.';

  static override readonly examples = [
    '<%= config.bin %> dev',
    '<%= config.bin %> dev --demo --example vanua-paws',
    '<%= config.bin %> dev --stand-ins',
  ];

  static override readonly flags = {
    demo: oclif.Flags.boolean({ summary: 'Send requests and jobs, print a table and exit.' }),
    'stand-ins': oclif.Flags.boolean({
      summary: 'Host only the stand-ins, at fixed ports, for programs that are started separately.',
      exclusive: ['demo'],
    }),
    example: oclif.Flags.string({
      summary: 'Which deployment to host.',
      options: examples.EXAMPLE_NAMES,
      default: 'kamarvaki',
    }),
    'log-level': oclif.Flags.string({
      summary: 'Minimum level of the log on standard error.',
      options: ['debug', 'info', 'warn', 'error'],
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(DevCommand);
    const example = examples.readExample(flags.example);
    if (flags['stand-ins']) {
      await this.hostStandins(example);
      return;
    }
    const fallbackLevel = flags.demo ? 'error' : 'info';
    const logLevel = (flags['log-level'] ?? fallbackLevel) as devHost.DevHostOptions['logLevel'];
    this.log(`${example.deployment.name}: starting ${example.deployment.zones.length} zones`);
    const host = await devHost.startDevHost({ ...example, logLevel });
    if (flags.demo) await this.runDemo(host, example.document);
    else await this.serve(host);
  }

  private async hostStandins(example: examples.Example): Promise<void> {
    const host = await standinHost.startStandinHost(example);
    this.log(`store ${host.storeUrl}; workers and upstreams of ${host.vmCount} VMs`);
    await untilSignal();
    await host.dispose();
  }

  private async serve(host: devHost.DevHost): Promise<void> {
    for (const { region, program } of host.entries) {
      this.log(`${region}: callers ${program.callersUrl}, operators ${program.operatorsUrl}`);
    }
    this.log(`operator token: ${host.operatorToken}`);
    await untilSignal();
    await host.dispose();
  }

  private async runDemo(
    host: devHost.DevHost,
    document: configuration.ConfigurationDocument,
  ): Promise<void> {
    const client = httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 64,
      maxIdleMs: 20_000,
      maxReplyBytes: MAX_REPLY_BYTES,
    });
    const result = await demo.runDemo({
      host,
      document,
      client: demoClient.createDemoClient(client.call, host.operatorToken),
      print: (line) => this.log(line),
      nowMs: systemClock.systemClock.monotonicMs,
      sleep,
    });
    const width = Math.max(...result.rows.map(([label]) => label.length));
    result.rows.forEach(([label, value]) => this.log(`${label.padEnd(width)}  ${value}`));
    await client.dispose();
    await host.dispose();
    result.broken.forEach((it) => this.logToStderr(`invariant violated: ${it}`));
    this.exit(result.broken.length === 0 ? 0 : 1);
  }
}
