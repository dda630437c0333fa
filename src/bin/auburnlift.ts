#!/usr/bin/env node
/**
 * The command-line client.
 */
import * as oclif from '@oclif/core';

await oclif.execute({ dir: import.meta.url });
