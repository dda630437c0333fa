/**
 * Loaded into a program before it starts (`node --import`): a signal moves its time of day to and fro,
 * as a bad time server does. The monotonic clock is left alone.
 */

/** How far the time of day jumps: beyond every lease that a process counts by it. */
const STEP_MS = 20_000;

const readWall = Date.now.bind(Date);
let offsetMs = 0;

Date.now = () => readWall() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
