/**
 * Guards against a capacity page that differs from the measurements, and against arithmetic errors.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as assumptions from '../assumptions.js';
import * as capacityModel from '../capacityModel.js';
import type * as measurement from '../measurement.js';
import * as renderPage from '../renderPage.js';
import * as slopes from '../slopes.js';

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..');
const readText = (file: string): string => fs.readFileSync(path.join(ROOT, file), 'utf8');

test.test('the page matches the committed measurements', () => {
  const measured = JSON.parse(
    readText('docs/capacity/measurements.json'),
  ) as measurement.Measurements;
  const page = readText('docs/CAPACITY.md');
  const derived = renderPage.replaceDerived(page, renderPage.renderDerived(measured));
  const lines = page.split('\n');
  // Compares line by line, so that a failure shows only the lines that differ.
  const drifted = derived.split('\n').filter((line, index) => line !== lines[index]);
  assert.deepEqual(drifted, []);
  assert.equal(derived.length, page.length);
});

const FITS = [
  {
    points: [
      [10, 20],
      [20, 30],
      [40, 50],
    ],
    perUnit: 1,
    intercept: 10,
    spread: 0,
  },
  {
    points: [
      [1, 5],
      [2, 5],
      [3, 5],
    ],
    perUnit: 0,
    intercept: 5,
    spread: 0,
  },
  {
    points: [
      [0, 0],
      [1, 2],
      [2, 1],
    ],
    perUnit: 0.5,
    intercept: 0.5,
    spread: 0.5,
  },
] as const;

test.test('fits lines by least squares and computes their spread', () => {
  for (const { points, perUnit, intercept, spread } of FITS) {
    const slope = slopes.fitSlope(points.map(([size, value]) => ({ size, value })));
    assert.ok(Math.abs(slope.perUnit - perUnit) < 1e-9);
    assert.ok(Math.abs(slope.intercept - intercept) < 1e-9);
    assert.ok(Math.abs(slope.spreadShare - spread) < 1e-9);
  }
});

const flat = (value: number): slopes.Slope => ({
  perUnit: 0,
  intercept: value,
  spreadShare: 0,
  points: [{ size: 1, value }],
});

test.test('computes the cost of an agent from its messages and their slopes', () => {
  const measured: measurement.Measurements = {
    machine: 'a test',
    slopes: {
      'reportSenderCpuMs by tasks': flat(2),
      'registrationSenderCpuMs by agents': flat(1),
      'reportBytes by tasks': flat(1000),
      'registrationBytes by agents': flat(500),
    },
    figures: { agentLookCpuMs: 0.5, agentResidentMib: 100 },
  };
  const size = {
    ...assumptions.TARGET,
    reportMs: 500,
    lookMs: 500,
    registerMs: 1000,
    entriesPerAgent: 3,
  };
  const cost = capacityModel.agentCost(measured, size);
  // Per second: two reports of 2 ms, three registrations of 1 ms and two polls of 0.5 ms.
  assert.ok(Math.abs(cost.cpuShare - 0.008) < 1e-12);
  assert.equal(cost.messagesPerSecond, 5);
  assert.equal(cost.bytesPerSecond, 2 * 1000 + 3 * 500);
});
