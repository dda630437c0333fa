/**
 * Decoding of the platform's settings, configuration and heartbeats, including invalid input.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../base/common/errors.js';
import * as bootSettings from '../bootSettings.js';
import * as operatorConfiguration from '../operatorConfiguration.js';
import * as workerWire from '../workerWire.js';

const SETTINGS = `
node = "side-1"
ip = "10.0.0.1"
zone = "z"
region = "r"
port_range = [7000, 7015]
heartbeat_ms = 1500
app = "10.0.0.1:80"
backend = "s"
news_to_come = true
[listen]
control = "10.0.0.1:90"
[platform]
addr = "10.0.0.9:70"
ttl_min_ms = 1000
[bounds]
grace_s = 6
hold_max_ms = 10000
status_s = 120
revoke_ms = 5000
gang_ms = 3000
`;

const messageOf = (action: () => unknown): string => {
  try {
    action();
    return '';
  } catch (thrown) {
    return errors.normalize(thrown).message;
  }
};

test.describe('settings of the platform', () => {
  test.it('are decoded, and unknown fields are ignored', () => {
    const settings = bootSettings.parseBootSettings(SETTINGS, 'local.toml', 'agent');
    assert.deepEqual(settings.peers, { host: '10.0.0.1', port: 7000 });
    assert.deepEqual(settings.worker, { host: '10.0.0.1', port: 80 });
    assert.deepEqual([settings.graceMs, settings.statusRetentionMs], [6000, 120_000]);
    assert.equal(settings.front, undefined);
  });

  const ACKNOWLEDGEMENT: readonly [string, string, number][] = [
    ['named', SETTINGS.replace('gang_ms', 'ack_ms = 4000\ngang_ms'), 4000],
    ['not named', SETTINGS, 0],
  ];
  for (const [name, text, expectedMs] of ACKNOWLEDGEMENT) {
    test.it(`give the time for acknowledgements, ${name}`, () => {
      const settings = bootSettings.parseBootSettings(text, 'local.toml', 'agent');
      assert.equal(settings.maxAcknowledgementMs, expectedMs);
    });
  }

  const EVACUATION: readonly [string, string, number | undefined, readonly string[]][] = [
    [
      'named',
      `${SETTINGS.replace('gang_ms', 'evacuate_ms = 5000\ngang_ms')}[zones]\nz = "r"\ny = "r"\n`,
      5000,
      ['z', 'y'],
    ],
    ['not named', SETTINGS, undefined, []],
  ];
  for (const [name, text, expectedMs, zones] of EVACUATION) {
    test.it(`give the zones and the time for evacuations, ${name}`, () => {
      const settings = bootSettings.parseBootSettings(text, 'local.toml', 'scheduler');
      assert.equal(settings.maxEvacuationMs, expectedMs);
      assert.deepEqual(settings.zones, zones);
    });
  }

  test.it('assign each program on a machine its own port', () => {
    const ports = (['entry', 'scheduler'] as const).map(
      (program) => bootSettings.parseBootSettings(SETTINGS, 'f', program).peers.port,
    );
    assert.deepEqual(ports, [7000, 7001]);
  });

  const BROKEN: readonly [string, string, RegExp][] = [
    ['a missing table', SETTINGS.replace('[platform]', '[elsewhere]'), /local\.toml.*platform/],
    [
      'a missing field',
      SETTINGS.replace('hold_max_ms', 'other'),
      /local\.toml.*bounds\.hold_max_ms/,
    ],
    ['a field of another type', SETTINGS.replace('1500', '"soon"'), /local\.toml.*heartbeat_ms/],
    ['text that is not TOML', '= = =', /local\.toml: not TOML/],
  ];
  for (const [name, text, expected] of BROKEN) {
    test.it('reads how long a task takes to resume from a checkpoint', () => {
      const told = SETTINGS.replace('gang_ms', 'restore_ms = 600\ngang_ms');
      assert.deepEqual(
        [told, SETTINGS].map(
          (it) => bootSettings.parseBootSettings(it, 'f', 'scheduler').restoreMs,
        ),
        [600, 250],
      );
    });

    const CLIENT_LIMITS: readonly [value: string, outcome: object | RegExp][] = [
      ['{}', {}],
      ['{"maxConnections":400}', { maxConnections: 400 }],
      ['{"maxConnections":0}', /AUBURNLIFT_CLIENT_LIMITS.*maxConnections/],
      ['{"headTimeoutMs":"long"}', /AUBURNLIFT_CLIENT_LIMITS.*headTimeoutMs/],
      ['{"unknown":1}', /AUBURNLIFT_CLIENT_LIMITS.*unknown/],
      ['400', /AUBURNLIFT_CLIENT_LIMITS/],
      ['{', /AUBURNLIFT_CLIENT_LIMITS: not JSON/],
    ];
    for (const [value, outcome] of CLIENT_LIMITS) {
      // Guards against a limit that is misspelt and silently has its default.
      test.it(`AUBURNLIFT_CLIENT_LIMITS = ${value}`, () => {
        const parse = (): object =>
          bootSettings.parseBootSettings(SETTINGS, 'f', 'entry', {
            AUBURNLIFT_CLIENT_LIMITS: value,
          }).clientLimits;
        if (outcome instanceof RegExp) assert.throws(parse, outcome);
        else assert.deepEqual(parse(), outcome);
      });
    }

    test.it('what the process and the store may take is decoded where it is told', () => {
      const told = `${SETTINGS}\n[limits]\nmemory_mb = 2\nmax_fds = 400\n`;
      assert.deepEqual(
        [told, SETTINGS].map(
          (it) => bootSettings.parseBootSettings(it, 'f', 'entry').processBudget,
        ),
        [{ memoryBytes: 2_097_152, maxDescriptors: 400 }, {}],
      );
    });

    const SPEEDS: readonly [value: string | undefined, learns: boolean | undefined][] = [
      [undefined, true],
      ['learn', true],
      ['equal', false],
      ['off', undefined],
      ['', undefined],
    ];
    for (const [value, learns] of SPEEDS) {
      test.it(`AUBURNLIFT_WORKER_SPEEDS = ${value ?? '(unset)'}`, () => {
        const parse = (): boolean =>
          bootSettings.parseBootSettings(SETTINGS, 'f', 'scheduler', {
            AUBURNLIFT_WORKER_SPEEDS: value,
          }).learnsWorkerSpeeds;
        if (learns === undefined) assert.throws(parse, /AUBURNLIFT_WORKER_SPEEDS must be/);
        else assert.equal(parse(), learns);
      });
    }

    test.it(`${name} is reported with file and field`, () => {
      const message = messageOf(() => bootSettings.parseBootSettings(text, 'local.toml', 'agent'));
      assert.match(message, expected);
    });
  }
});

test.describe("the operators' configuration", () => {
  test.it('is decoded with defaults for omitted fields', () => {
    const decoded = operatorConfiguration.decodeConfiguration(
      JSON.stringify({
        version: 7,
        routes: [{ name: 'r', host: 'h', prefix: '/p/', backend: 's', slo_ms: 500, stretch: 1.5 }],
        tenants: [{ name: 't', api_keys: ['k'], guaranteed: { gpu: 16 } }],
        something: 'new',
      }),
    );
    assert.equal(decoded.version, 7);
    assert.deepEqual(decoded.queues[0]?.policy, {
      queue: 'r',
      service: 's',
      priority: 0,
      attempts: 1,
      stretch: 1.5,
      objectiveMs: 500,
      needsAdvice: false,
    });
    assert.deepEqual(decoded.customers, [
      { customerId: 't', apiKeys: ['k'], guaranteedAccelerators: 16 },
    ]);
  });

  const BROKEN: readonly [string, string][] = [
    ['text that is not JSON', '{'],
    ['a configuration without a version', '{"routes":[]}'],
    ['a queue without a prefix', '{"version":1,"routes":[{"name":"r"}]}'],
  ];
  for (const [name, text] of BROKEN) {
    test.it(`${name} is refused`, () => {
      assert.notEqual(
        messageOf(() => operatorConfiguration.decodeConfiguration(text)),
        '',
      );
    });
  }
});

const HEARTBEAT = {
  backend: 's',
  addr: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_left_ms: 0,
  capacity: { cpu: 16_000, mem_mb: 32_768, gpu: 8 },
  labels: ['a', 'r1-3'],
  clock_ms: 5,
  seq: 4,
  born: 99,
};

test.describe('a heartbeat', () => {
  test.it('is decoded', () => {
    const body = Buffer.from(
      JSON.stringify({ ...HEARTBEAT, state: 'draining', remaining_ms: 2000 }),
    );
    assert.deepEqual(workerWire.decodeHeartbeat('i-1', body), {
      sequence: 4,
      info: {
        workerId: 'i-1',
        incarnationMs: 99,
        service: 's',
        zone: 'z',
        state: 'draining',
        capacity: { cpuMillicores: 16_000, memoryMb: 32_768, accelerators: 8 },
        labels: ['a', 'r1-3'],
        rack: 'r1-3',
        remainingMs: 2000,
      },
    });
  });

  const INVALID: readonly [string, string][] = [
    ['bytes', '\u0000\u0001'],
    ['a list', '[]'],
    ['no state', JSON.stringify({ ...HEARTBEAT, state: undefined })],
    ['an unknown state', JSON.stringify({ ...HEARTBEAT, state: 'asleep' })],
    ['a sequence of another type', JSON.stringify({ ...HEARTBEAT, seq: '4' })],
    ['a fractional sequence', JSON.stringify({ ...HEARTBEAT, seq: 4.5 })],
    ['a capacity of another type', JSON.stringify({ ...HEARTBEAT, capacity: 8 })],
    ['no service', JSON.stringify({ ...HEARTBEAT, backend: undefined })],
  ];
  for (const [name, text] of INVALID) {
    test.it(`with ${name} is not decoded`, () => {
      assert.equal(workerWire.decodeHeartbeat('i-1', Buffer.from(text)), undefined);
    });
  }
});
