/**
 * Enables roarr: it reads this variable once, when it is loaded, and drops all messages without it.
 * Import this module before roarr.
 */
process.env.ROARR_LOG = 'true';
