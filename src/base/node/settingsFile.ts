/**
 * Settings files: JSON with comments, decoded by a schema. Every error names the file, the line, the
 * field and the expected value; a process with invalid settings does not start.
 */
import * as fs from 'node:fs';

import type * as Schema from 'effect/Schema';
import * as jsonc from 'jsonc-parser';

import * as errors from '../common/errors.js';
import * as schemaIssues from '../common/schemaIssues.js';

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

/** The node of a path, or of its longest prefix that exists in the file. */
const nearestNode = (root: jsonc.Node, path: readonly (string | number)[]): jsonc.Node => {
  for (let { length } = path; length > 0; length -= 1) {
    const node = jsonc.findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return node;
  }
  return root;
};

const parse = (text: string, file: string): jsonc.Node => {
  const problems: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, problems, { allowTrailingComma: true });
  const [problem] = problems;
  if (problem !== undefined) {
    const what = jsonc.printParseErrorCode(problem.error);
    const line = lineAt(text, problem.offset);
    throw errors.fail('invalidRequest', `${file}:${line}: not JSON with comments: ${what}`);
  }
  if (root === undefined) throw errors.fail('invalidRequest', `${file}:1: the file is empty`);
  return root;
};

/**
 * @param schema - schema of the settings
 * @param text - the content of the file
 * @param file - its name for error messages
 * @returns the typed settings
 * @throws AuburnliftError `invalidRequest` with one line for each invalid field
 */
export const parseSettings = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  text: string,
  file: string,
): T => {
  const root = parse(text, file);
  const decoded = schemaIssues.decode(schema, jsonc.getNodeValue(root));
  if (decoded.isValid) return decoded.value;
  const lines = decoded.issues.map((issue) => {
    const line = lineAt(text, nearestNode(root, issue.path).offset);
    return `${file}:${line}: ${issue.field}: ${issue.message}`;
  });
  throw errors.fail('invalidRequest', lines.join('\n'), {
    field: decoded.issues[0]?.field ?? '(document)',
  });
};

/**
 * @param schema - schema of the settings
 * @param file - path of the settings file
 * @returns the typed settings
 * @throws AuburnliftError `invalidRequest` if the file can't be read or is invalid
 */
export const readSettings = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  file: string,
): T => {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (thrown) {
    throw errors.fail('invalidRequest', `${file}: ${errors.normalize(thrown).message}`);
  }
  return parseSettings(schema, text, file);
};
