/**
 * `npm run bench -- capacity [--write]`: measures slopes with the real programs and stand-ins.
 * `--write` writes the measurements and the derived tables of the capacity page.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as measureControl from './measureControl.js';
import * as measureIdle from './measureIdle.js';
import * as measureActivation from './measureActivation.js';
import * as measurePlanning from './measurePlanning.js';
import * as measureRequests from './measureRequests.js';
import * as measureTakeover from './measureTakeover.js';
import * as measurement from './measurement.js';
import * as renderPage from './renderPage.js';
import * as slopes from './slopes.js';

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../..');

/** Path of the committed measurements. */
export const MEASUREMENTS_FILE = path.join(ROOT, 'docs/capacity/measurements.json');

/** Path of the page with the derived tables. */
export const PAGE_FILE = path.join(ROOT, 'docs/CAPACITY.md');

const toMeasurements = (recorder: measurement.Recorder): measurement.Measurements => {
  const fitted: Record<string, slopes.Slope> = {};
  for (const [name, points] of recorder.points()) fitted[name] = slopes.fitSlope(points);
  return {
    machine: `${os.cpus().length} cores, Node.js ${process.version}`,
    slopes: fitted,
    figures: recorder.figures(),
  };
};

/**
 * @param args - `--write` or empty
 * @param print - prints a line
 */
export const runCapacity = async (
  args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const recorder = measurement.createRecorder(print);
  measurePlanning.measurePlanning(recorder);
  await measureControl.measureControl(recorder);
  await measureRequests.measureRequests(recorder);
  await measureTakeover.measureTakeover(recorder);
  await measureIdle.measureIdle(recorder);
  await measureActivation.measureActivation(recorder);
  const measured = toMeasurements(recorder);
  for (const [name, slope] of Object.entries(measured.slopes)) {
    const { perUnit, intercept, spreadShare } = slope;
    print(
      `slope ${name}: ${intercept.toFixed(4)} + ${perUnit.toFixed(6)} a unit, spread ${(spreadShare * 100).toFixed(0)}%`,
    );
  }
  if (!args.includes('--write')) return;
  fs.writeFileSync(MEASUREMENTS_FILE, `${JSON.stringify(measured, null, 1)}\n`);
  const page = fs.readFileSync(PAGE_FILE, 'utf8');
  fs.writeFileSync(PAGE_FILE, renderPage.replaceDerived(page, renderPage.renderDerived(measured)));
  print('written');
};
