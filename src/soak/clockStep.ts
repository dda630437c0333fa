/**
 * Loaded into a program before it starts (`node --import`). SIGUSR2 steps its wall clock forward or back,
 * as a faulty time server does. The monotonic clock is not changed.
 */

/** Size of the wall clock step: longer than every lease that a process measures by that clock. */
const STEP_MS = 20_000;

const readWall = Date.now.bind(Date);
let offsetMs = 0;

Date.now = () => readWall() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
