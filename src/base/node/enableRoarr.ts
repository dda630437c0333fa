/**
 * Switches roarr on: it looks at this variable once, when it is loaded, and drops everything
 * without it. Import this module before roarr.
 */
process.env.ROARR_LOG = 'true';
