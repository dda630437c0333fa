/**
 * Layout of every console page: navigation, stylesheet and the security headers that block scripts.
 */
import * as crypto from 'node:crypto';

import type * as httpServer from '../httpServer.js';
import * as html from './html.js';

const STYLE = `
:root{--ink:#1d2733;--soft:#5b6876;--line:#d8dee6;--page:#f6f8fa;--accent:#1f5fa8;--bad:#b3261e;
--good:#1c7c4a}
*{box-sizing:border-box}
body{margin:0;font:15px/1.5 system-ui,sans-serif;color:var(--ink);background:var(--page)}
header{background:#fff;border-bottom:1px solid var(--line);padding:.6rem 1.5rem;display:flex;
flex-wrap:wrap;gap:.3rem 1.2rem;align-items:center}
header strong{font-size:1.05rem;margin-right:.6rem}
nav{display:flex;flex-wrap:wrap;gap:.2rem 1rem;flex:1}
a{color:var(--accent)}
nav a{text-decoration:none}
nav a:hover,nav a:focus{text-decoration:underline}
main{max-width:72rem;margin:1.2rem auto;padding:0 1.5rem}
h1{font-size:1.45rem;margin:.2rem 0 1rem}
h2{font-size:1.1rem;margin:1.6rem 0 .6rem}
table{border-collapse:collapse;background:#fff;width:100%;margin:.6rem 0 1rem;
border:1px solid var(--line)}
caption{text-align:left;color:var(--soft);padding:.2rem 0}
th,td{padding:.4rem .7rem;text-align:left;border-bottom:1px solid var(--line);vertical-align:top;
overflow-wrap:anywhere}
th{background:#eef2f6;font-weight:600}
form.card,section.card{background:#fff;border:1px solid var(--line);border-radius:6px;
padding:1rem 1.2rem;margin:.6rem 0 1.2rem;max-width:44rem}
form.inline{display:inline}
.field{margin:0 0 .9rem}
label{display:block;font-weight:600}
.hint{color:var(--soft);font-size:.9rem;margin:.1rem 0}
input,select,textarea{font:inherit;padding:.35rem .5rem;border:1px solid #9aa7b5;border-radius:4px;
width:100%;max-width:30rem;background:#fff}
input[type=checkbox]{width:auto;margin-right:.4rem}
input[aria-invalid=true],select[aria-invalid=true]{border:2px solid var(--bad)}
.error{color:var(--bad);margin:.15rem 0 0}
.notice{border-left:4px solid var(--accent);background:#e9f1fa;padding:.6rem 1rem;margin:.6rem 0}
.alert{border-left:4px solid var(--bad);background:#fbeceb;padding:.6rem 1rem;margin:.6rem 0}
button{font:inherit;padding:.4rem 1rem;border-radius:4px;border:1px solid var(--accent);
background:var(--accent);color:#fff;cursor:pointer;margin:.2rem .4rem .2rem 0}
button.quiet{background:#fff;color:var(--accent)}
button.danger{background:#fff;border-color:var(--bad);color:var(--bad)}
.good{color:var(--good)}.bad{color:var(--bad)}
code{font-size:.92em}
svg text{font:11px system-ui,sans-serif;fill:var(--ink)}
`;

const STYLE_HASH = crypto.createHash('sha256').update(STYLE).digest('base64');

/** Blocks scripts, frames, images and form posts to other sites; allows only the one stylesheet. */
const SECURITY_HEADERS: Readonly<Record<string, string>> = {
  'content-security-policy':
    `default-src 'none'; style-src 'sha256-${STYLE_HASH}'; form-action 'self'; ` +
    "frame-ancestors 'none'; base-uri 'none'",
  'x-content-type-options': 'nosniff',
  'referrer-policy': 'same-origin',
  'cache-control': 'no-store',
};

/** Navigation links: path and label. */
const NAVIGATION: readonly (readonly [string, string])[] = [
  ['/console', 'Overview'],
  ['/console/customers', 'Customers'],
  ['/console/shapes', 'Shapes'],
  ['/console/rules', 'Spare rules'],
  ['/console/cells', 'Cells'],
  ['/console/objectives', 'Objectives'],
  ['/console/placement', 'Placement'],
  ['/console/routing', 'Routing'],
  ['/console/document', 'Document'],
  ['/console/history', 'History'],
  ['/console/status', 'In force'],
  ['/console/jobs', 'Jobs'],
  ['/console/upstreams', 'Upstreams'],
  ['/console/burn', 'Burn'],
];

/** The signed-in operator, as the layout shows it. */
export interface Visitor {
  readonly operatorId: string;
  readonly role: string;
  readonly csrf: string;
}

/** Content of a page. */
export interface Page {
  readonly title: string;
  readonly body: html.Html;
  readonly status?: number;
}

/**
 * @param visitor - the signed-in operator
 * @returns the hidden field with the CSRF token of the session
 */
export const csrfField = (visitor: Visitor): html.Html =>
  html.html`<input type="hidden" name="csrf" value="${visitor.csrf}">`;

const navigation = (
  visitor: Visitor,
): html.Html => html.html`<nav aria-label="Pages">${NAVIGATION.map(
  ([path, label]) => html.html`<a href="${path}">${label}</a>`,
)}</nav>
<form class="inline" method="post" action="/console/sign-out">${csrfField(visitor)}
${visitor.operatorId} (${visitor.role}) <button class="quiet" type="submit">Sign out</button></form>`;

/**
 * @param page - the page
 * @param visitor - the signed-in operator, if any
 * @param headers - further headers
 * @returns the reply
 */
export const pageReply = (
  page: Page,
  visitor: Visitor | undefined,
  headers: Readonly<Record<string, string>> = {},
): httpServer.ServerReply => {
  const style: html.Html = { safe: STYLE };
  const { safe } = html.html`<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${page.title} - auburnlift</title><style>${style}</style></head>
<body><header><strong>auburnlift</strong>${visitor === undefined ? '' : navigation(visitor)}</header>
<main><h1>${page.title}</h1>${page.body}</main></body></html>
`;
  return {
    status: page.status ?? 200,
    headers: { 'content-type': 'text/html; charset=utf-8', ...SECURITY_HEADERS, ...headers },
    body: safe,
  };
};

/**
 * @param location - path that the browser opens with a GET
 * @param headers - further headers
 * @returns the redirect after a successful form post
 */
export const redirectReply = (
  location: string,
  headers: Readonly<Record<string, string>> = {},
): httpServer.ServerReply => ({
  status: 303,
  headers: { location, ...SECURITY_HEADERS, ...headers },
});
