/**
 * Renders differences and effects of configuration changes as HTML.
 */
import * as configurationDifference from '../../../state/common/configurationDifference.js';
import * as html from './html.js';

/**
 * @param changes - fields that differ
 * @param caption - caption of the table
 * @returns a table
 */
export const renderChanges = (
  changes: readonly configurationDifference.DocumentChange[],
  caption: string,
): html.Html =>
  html.table(
    ['Field', 'Before', 'After'],
    changes.map((it) => [
      html.html`<code>${it.path}</code>`,
      it.before ?? 'absent',
      it.after ?? 'removed',
    ]),
    caption,
  );

/**
 * @param effects - effects of a change
 * @returns a paragraph for each; all but notes are shown as alerts
 */
export const renderEffects = (
  effects: readonly configurationDifference.ChangeEffect[],
): html.Html => {
  const { note } = configurationDifference.EffectLevel;
  return html.html`${effects.map(
    (it) => html.html`<p class="${it.level === note ? 'notice' : 'alert'}">${it.text}</p>`,
  )}`;
};
