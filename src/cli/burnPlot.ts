/**
 * Plots burn rates as SVG with the server-side rendering of ECharts.
 */
import * as charts from 'echarts/charts';
import * as components from 'echarts/components';
import * as core from 'echarts/core';
import * as renderers from 'echarts/renderers';

/** One bar: the burn rate of one hour. */
export interface PlotBar {
  /** Start of the hour. */
  readonly atMs: number;
  readonly burnRate: number;
}

/** What a plot shows. */
export interface BurnPlot {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly bars: readonly PlotBar[];
  /** Rates above which an objective counts as burning. */
  readonly thresholds: readonly number[];
}

const WIDTH = 720;
const HEIGHT = 200;
const MIN_AXIS_TOP = 16;
const BAR_COLOR = '#335577';
const THRESHOLD_COLOR = '#bb0000';

core.use([
  charts.BarChart,
  components.GridComponent,
  components.MarkLineComponent,
  renderers.SVGRenderer,
]);

const optionOf = (plot: BurnPlot): core.EChartsCoreOption => ({
  animation: false,
  grid: { left: 48, right: 44, top: 16, bottom: 28 },
  xAxis: { type: 'time', min: plot.fromMs, max: plot.toMs },
  yAxis: {
    type: 'value',
    min: 0,
    max: ({ max }: { max: number }) => Math.max(MIN_AXIS_TOP, Math.ceil(max)),
  },
  series: [
    {
      type: 'bar',
      // A clip path would add a reference (`url(#…)`) to the SVG.
      clip: false,
      itemStyle: { color: BAR_COLOR },
      data: plot.bars.map((it) => [it.atMs, it.burnRate]),
      markLine: {
        silent: true,
        symbol: 'none',
        lineStyle: { color: THRESHOLD_COLOR, type: 'dashed' },
        data: plot.thresholds.map((yAxis) => ({ yAxis })),
      },
    },
  ],
});

/**
 * @param plot - what to show
 * @returns an SVG that loads no external resource
 */
export const renderPlot = (plot: BurnPlot): string => {
  const chart = core.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT });
  try {
    chart.setOption(optionOf(plot));
    return chart.renderToSVGString();
  } finally {
    chart.dispose();
  }
};
