/**
 * The burn report as one HTML page with plots, which needs no other file and no script.
 */
import type * as burnRate from '../coordination/common/burnRate.js';
import type * as serviceLevelReport from '../coordination/common/serviceLevelReport.js';

const WIDTH = 720;
const HEIGHT = 180;
const LEFT = 48;
const BOTTOM = 24;
const HOURS_SHOWN = 72;
const HOUR_MS = 3_600_000;
const LEAST_TOP = 16;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/**
 * @param text - any text
 * @returns it so that a browser shows it and takes nothing of it for markup
 */
export const escapeHtml = (text: string): string =>
  text.replace(/[&<>"']/g, (char) => ESCAPES[char] ?? char);

const rateOf = (bucket: burnRate.Bucket, target: number): number =>
  bucket.bad / Math.max(1, bucket.good + bucket.bad) / (1 - target);

/**
 * @param report - one objective
 * @param atMs - right end of the plot
 * @returns its burn rate by hour as an SVG picture with a title
 */
export const plot = (report: serviceLevelReport.ObjectiveReport, atMs: number): string => {
  const { objective, history, pairs } = report;
  const fromMs = atMs - HOURS_SHOWN * HOUR_MS;
  const rates = history.map((it) => ({ ...it, rate: rateOf(it, objective.target) }));
  const top = Math.max(LEAST_TOP, ...rates.map((it) => it.rate));
  const xOf = (ms: number): number => LEFT + ((WIDTH - LEFT) * (ms - fromMs)) / (atMs - fromMs);
  const yOf = (rate: number): number => (HEIGHT - BOTTOM) * (1 - rate / top);
  const barWidth = (WIDTH - LEFT) / HOURS_SHOWN;
  const bars = rates
    .filter((it) => it.fromMs + HOUR_MS > fromMs)
    .map((it) => {
      const x = Math.max(LEFT, xOf(it.fromMs));
      const height = HEIGHT - BOTTOM - yOf(it.rate);
      const title = `${new Date(it.fromMs).toISOString()}: ${it.good} good, ${it.bad} bad`;
      return `<rect x="${x.toFixed(1)}" y="${yOf(it.rate).toFixed(1)}" width="${barWidth.toFixed(
        1,
      )}" height="${height.toFixed(1)}"><title>${title}</title></rect>`;
    });
  const lines = pairs.map(({ threshold }) => {
    const y = yOf(threshold).toFixed(1);
    return `<line x1="${LEFT}" x2="${WIDTH}" y1="${y}" y2="${y}"/><text x="0" y="${y}">${threshold}</text>`;
  });
  const labels = [72, 48, 24, 0].map((ago) => {
    const x = xOf(atMs - ago * HOUR_MS) - (ago === 0 ? BOTTOM : 0);
    return `<text x="${x.toFixed(1)}" y="${HEIGHT - 6}">${ago === 0 ? 'now' : `-${ago} h`}</text>`;
  });
  const name = escapeHtml(`burn rate of ${objective.objectiveId} by hour`);
  return [
    `<svg viewBox="0 -10 ${WIDTH} ${HEIGHT + 10}" role="img" aria-label="${name}">`,
    ...bars,
    ...lines,
    ...labels,
    '</svg>',
  ].join('');
};

const pairRow = (pair: burnRate.PairBurn): string => {
  const cells = [pair.short, pair.long].map(
    (it) => `<td>${it.windowMs / 60_000} min: ${it.burnRate.toFixed(2)} (${it.bad} bad)</td>`,
  );
  const state = pair.isBurning ? '<td class="burning">burning</td>' : '<td>ok</td>';
  return `<tr>${cells.join('')}<td>${pair.threshold}</td>${state}</tr>`;
};

const section = (report: serviceLevelReport.ObjectiveReport, atMs: number): string => {
  const { objective, budgetLeftShare } = report;
  const { objectiveId, customerId, kind, target, thresholdMs } = objective;
  const title = escapeHtml(`${objectiveId}: ${customerId}, ${kind}`);
  const facts = `target ${target}, threshold ${thresholdMs} ms, budget left ${(
    budgetLeftShare * 100
  ).toFixed(1)}%`;
  const head = '<tr><th>short window</th><th>long window</th><th>threshold</th><th></th></tr>';
  const rows = report.pairs.map(pairRow).join('');
  return `<section><h2>${title}</h2><p>${facts}</p><table>${head}${rows}</table>${plot(
    report,
    atMs,
  )}</section>`;
};

const STYLE =
  'body{font:14px sans-serif;max-width:760px;margin:2em auto}table{border-collapse:collapse}' +
  'td,th{border:1px solid #999;padding:2px 8px;text-align:left}.burning{background:#b00;color:#fff}' +
  'svg{width:100%;margin-top:8px}rect{fill:#357}line{stroke:#b00;stroke-dasharray:4}' +
  'text{font-size:11px}';

/**
 * @param report - the burn report
 * @returns a whole HTML page
 */
export const renderPage = (report: serviceLevelReport.ServiceLevelReport): string => {
  const at = new Date(report.atMs).toISOString();
  const sections = report.objectives.map((it) => section(it, report.atMs)).join('\n');
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>',
    `<style>${STYLE}</style></head><body>`,
    `<h1>Service-level burn</h1><p>${at}, configuration version ${report.configVersion}</p>`,
    sections,
    '</body></html>',
    '',
  ].join('\n');
};
