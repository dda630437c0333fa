/**
 * Renders the derived tables of `docs/CAPACITY.md` from the committed measurements.
 */
import * as assumptions from './assumptions.js';
import * as capacityModel from './capacityModel.js';
import type * as measurement from './measurement.js';

/** Line before the derived tables on the page. */
export const BEGIN_MARK = '<!-- derived from docs/capacity/measurements.json: begin -->';

/** Line after the derived tables on the page. */
export const END_MARK = '<!-- derived from docs/capacity/measurements.json: end -->';

const PERCENT = 100;

const table = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
};

const percent = (share: number): string => `${(share * PERCENT).toFixed(2)}%`;

const verdict = (value: number, limit: number): string => {
  const ratio = value / limit;
  return ratio <= 1
    ? `yes, ${(ratio * PERCENT).toFixed(0)}% of it`
    : `**no, ${ratio.toFixed(1)} times**`;
};

const sizesTable = (): string => {
  const keys = Object.keys(assumptions.SOURCES) as (keyof assumptions.DeploymentSize)[];
  const rows = keys.map((key) => [
    key,
    String(assumptions.TODAY[key]),
    String(assumptions.TARGET[key]),
    assumptions.SOURCES[key],
  ]);
  return table(['size', 'today', 'target', 'source'], rows);
};

const slopesTable = (measured: measurement.Measurements): string => {
  const rows = Object.entries(measured.slopes).map(([name, slope]) => [
    name,
    slope.intercept.toFixed(3),
    slope.perUnit.toPrecision(3),
    slope.points.map((it) => it.size).join(', '),
    `${(slope.spreadShare * PERCENT).toFixed(0)}%`,
  ]);
  const figures = Object.entries(measured.figures).map(([name, value]) => [
    name,
    value.toFixed(3),
    '',
    '',
    '',
  ]);
  return table(['measured', 'at 0', 'per unit', 'sizes', 'spread'], [...rows, ...figures]);
};

const ROLES = [
  ['agent', capacityModel.agentCost],
  ['scheduler, one cell', capacityModel.schedulerCost],
  ['entry', capacityModel.entryCost],
] as const;

const rolesTable = (measured: measurement.Measurements): string => {
  const { cpuShare, residentMib, bytesPerSecond } = assumptions.BUDGET;
  const rows = ROLES.flatMap(([role, costOf]) =>
    (['TODAY', 'TARGET'] as const).map((which) => {
      const cost = costOf(measured, assumptions[which]);
      return [
        role,
        which.toLowerCase(),
        cost.messagesPerSecond.toFixed(2),
        `${percent(cost.cpuShare)} (${verdict(cost.cpuShare, cpuShare)})`,
        `${cost.residentMib.toFixed(0)} MiB (${verdict(cost.residentMib, residentMib)})`,
        `${cost.bytesPerSecond.toFixed(0)} B/s (${verdict(cost.bytesPerSecond, bytesPerSecond)})`,
      ];
    }),
  );
  return table(['role', 'size', 'messages/s', 'core', 'memory', 'network'], rows);
};

const storeTable = (measured: measurement.Measurements): string => {
  const { storeReadsPerSecond, storeWritesPerSecond } = assumptions.BUDGET;
  const rows = (['TODAY', 'TARGET'] as const).map((which) => {
    const load = capacityModel.storeLoad(measured, assumptions[which]);
    return [
      which.toLowerCase(),
      `${load.idleCallsPerSecond.toFixed(1)} (${verdict(load.idleCallsPerSecond, storeReadsPerSecond)})`,
      `${load.jobWritesPerSecond.toFixed(4)} (${verdict(load.jobWritesPerSecond, storeWritesPerSecond)})`,
    ];
  });
  return table(['size', 'calls/s at rest, all processes', 'job writes/s, ordinary day'], rows);
};

const burstTable = (measured: measurement.Measurements): string => {
  const today = capacityModel.burstCost(measured, assumptions.TODAY);
  const target = capacityModel.burstCost(measured, assumptions.TARGET);
  const row = (event: string, key: keyof capacityModel.BurstCost, from: string): string[] => [
    event,
    `${today[key].toFixed(0)} ms`,
    `${target[key].toFixed(0)} ms`,
    from,
  ];
  return table(
    ['event', 'today', 'target', 'from'],
    [
      row(
        'all agents register again at one entry (CPU)',
        'entryReregisterCpuMs',
        'registrationReceiverCpuMs by agents',
      ),
      row(
        'a cell changes its leader: first full reports (CPU)',
        'leaderTakeOverCpuMs',
        'reportReceiverCpuMs by tasks',
      ),
      row(
        'a cell changes its leader after a release (time)',
        'leaderTakeOverMs',
        'takeOverAfterReleaseMs by workers',
      ),
      row(
        'all jobs of a zone requeue and start again (CPU of its leader)',
        'leaderRequeueCpuMs',
        'submitToRunningCpuMs by burst',
      ),
    ],
  );
};

/**
 * @param measured - the committed measurements
 * @returns the derived section of the page, including the marker lines
 */
export const renderDerived = (measured: measurement.Measurements): string =>
  [
    BEGIN_MARK,
    `Measured on: ${measured.machine}.`,
    '### Sizes',
    sizesTable(),
    '### Slopes',
    slopesTable(measured),
    '### Ordinary day, control only, for each node',
    rolesTable(measured),
    "### The platform's store",
    storeTable(measured),
    '### Worst events',
    burstTable(measured),
    END_MARK,
  ].join('\n\n');

/**
 * @param page - the page's text
 * @param derived - see {@link renderDerived}
 * @returns the page with its derived section replaced
 */
export const replaceDerived = (page: string, derived: string): string => {
  const begin = page.indexOf(BEGIN_MARK);
  const end = page.indexOf(END_MARK);
  if (begin < 0 || end < begin) throw new Error('the page lacks its marker lines');
  return page.slice(0, begin) + derived + page.slice(end + END_MARK.length);
};
