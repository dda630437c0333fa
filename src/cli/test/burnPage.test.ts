/**
 * The burn page must be self-contained and must escape ids.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as serviceLevelReport from '../../coordination/common/serviceLevelReport.js';
import * as burnPage from '../burnPage.js';

import * as cliFixtures from './cliFixtures.js';

test.test('the page loads no other file and escapes markup in ids', () => {
  const page = burnPage.renderPage(
    cliFixtures.BURN as unknown as serviceLevelReport.ServiceLevelReport,
  );
  assert.ok(page.startsWith('<!doctype html>'));
  assert.equal(/(src|href)=|<script|@import|url\(/.test(page), false);
  assert.equal(page.includes('<b>fast</b>'), false);
  assert.ok(page.includes('&lt;b&gt;fast&lt;/b&gt;'));
  assert.equal(page.match(/<svg /g)?.length, 1);
  assert.ok(page.includes('1 good, 1 bad'));
  assert.equal(/NaN|Infinity|undefined/.test(page), false);
});
