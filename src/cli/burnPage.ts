/**
 * Renders the burn report as a self-contained HTML page with plots and without scripts.
 */
import * as escaping from '../base/common/escapeHtml.js';
import type * as burnRate from '../coordination/common/burnRate.js';
import type * as serviceLevelReport from '../coordination/common/serviceLevelReport.js';

import * as burnPlot from './burnPlot.js';

const HOURS_SHOWN = 72;
const HOUR_MS = 3_600_000;

const rateOf = (bucket: burnRate.Bucket, target: number): number =>
  bucket.bad / Math.max(1, bucket.good + bucket.bad) / (1 - target);

/** The plotted numbers as text, for screen readers. */
const hourList = (report: serviceLevelReport.ObjectiveReport, fromMs: number): string => {
  const items = report.history
    .filter((it) => it.fromMs + HOUR_MS > fromMs && it.bad > 0)
    .map((it) => {
      const at = new Date(it.fromMs).toISOString();
      return `<li>${at}: ${it.good} good, ${it.bad} bad</li>`;
    });
  return items.length === 0 ? '' : `<ul>${items.join('')}</ul>`;
};

/**
 * @param report - one objective
 * @param atMs - right end of the plot
 * @returns its hourly burn rate as a figure with a caption, and a list of the hours with bad events
 */
export const plot = (report: serviceLevelReport.ObjectiveReport, atMs: number): string => {
  const { objective, history, pairs } = report;
  const fromMs = atMs - HOURS_SHOWN * HOUR_MS;
  const name = `burn rate of ${objective.objectiveId} by hour`;
  const svg = burnPlot.renderPlot({
    name,
    fromMs,
    toMs: atMs,
    bars: history
      .filter((it) => it.fromMs + HOUR_MS > fromMs)
      .map((it) => ({ atMs: it.fromMs, burnRate: rateOf(it, objective.target) })),
    thresholds: pairs.map((it) => it.threshold),
  });
  const caption = `<figcaption>${escaping.escapeHtml(name)}</figcaption>`;
  return `<figure>${svg}${caption}</figure>${hourList(report, fromMs)}`;
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
  const title = escaping.escapeHtml(`${objectiveId}: ${customerId}, ${kind}`);
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
  'figure{margin:8px 0}svg{max-width:100%}';

/**
 * @param report - the burn report
 * @returns a complete HTML page
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
