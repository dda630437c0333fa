/**
 * The load of an overloaded pool whose replays take longest. In a file of its own, since it takes long.
 */
import * as test from 'node:test';

import * as saturationCases from './saturationCases.js';

test.describe('callers of an overloaded pool, the longest load', () =>
  saturationCases.describeLoads(saturationCases.Part.longest));
