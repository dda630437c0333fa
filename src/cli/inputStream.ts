/**
 * Reads files and standard input as streams, so that files, pipes, devices and terminals all work: line by line
 * for logs of any size, or completely, up to a limit, for documents.
 */
import * as fs from 'node:fs';
import * as stringDecoder from 'node:string_decoder';

import * as errors from '../base/common/errors.js';

import * as quote from './quote.js';

/** More than the largest document that an entry accepts, with a margin for comments. */
const MAX_DOCUMENT_BYTES = 8_388_608;

const CHUNK_BYTES = 262_144;

const STANDARD_INPUT = '-';

/**
 * @param file - path, or `-`
 * @returns its name in messages
 */
export const displayName = (file: string): string =>
  file === STANDARD_INPUT ? 'standard input' : quote.truncateInput(file);

/** The error's text before its comma; the rest repeats the path, which the message already has. */
const reasonOf = (thrown: unknown): string => errors.normalize(thrown).message.split(',')[0] ?? '';

/** Reads by stream: a synchronous read of a pipe that has no data yet fails, while a stream waits until it is closed. */
const readChunks = async (file: string, onChunk: (chunk: Buffer) => void): Promise<void> => {
  const stream =
    file === STANDARD_INPUT
      ? process.stdin
      : fs.createReadStream(file, { highWaterMark: CHUNK_BYTES });
  try {
    for await (const chunk of stream) onChunk(chunk as Buffer);
  } catch (thrown) {
    if (errors.isKnown(thrown)) throw thrown;
    throw errors.fail('notFound', `${displayName(file)}: ${reasonOf(thrown)}`, { field: 'file' });
  }
};

/**
 * Handles a line, without its line feed.
 *
 * @param line - truncated to one character above the limit if it is longer
 * @param isComplete - whether its line feed was read; false for text after the last one
 */
export type OnLine = (line: string, isComplete: boolean) => void;

/** Splits chunks of text into lines; buffers at most one line, up to a limit. */
const createLineSplitter = (maxCharacters: number, onLine: OnLine) => {
  let line = '';
  const append = (part: string): void => {
    if (line.length <= maxCharacters) line += part.slice(0, maxCharacters + 1 - line.length);
  };
  return {
    push: (text: string): void => {
      let from = 0;
      for (let end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', from)) {
        append(text.slice(from, end));
        onLine(line, true);
        line = '';
        from = end + 1;
      }
      append(text.slice(from));
    },
    end: (): void => {
      if (line !== '') onLine(line, false);
    },
  };
};

/**
 * @param file - path, or `-` for standard input
 * @param maxCharacters - limit of a line; one more character is passed on to show that it was exceeded
 * @param onLine - called for each line
 * @throws AuburnliftError `notFound` naming the unreadable file
 */
export const eachLine = async (
  file: string,
  maxCharacters: number,
  onLine: OnLine,
): Promise<void> => {
  const decoder = new stringDecoder.StringDecoder('utf8');
  const splitter = createLineSplitter(maxCharacters, onLine);
  await readChunks(file, (chunk) => splitter.push(decoder.write(chunk)));
  splitter.push(decoder.end());
  splitter.end();
};

/**
 * @param file - path, or `-` for standard input
 * @returns the document's text
 * @throws AuburnliftError `notFound` naming the unreadable file, `tooLarge` above the limit
 */
export const readDocument = async (file: string): Promise<string> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  await readChunks(file, (chunk) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DOCUMENT_BYTES) {
      const limit = `a document has ${MAX_DOCUMENT_BYTES} bytes at most`;
      throw errors.fail('tooLarge', `${displayName(file)}: ${limit}`, { field: 'file' });
    }
    chunks.push(chunk);
  });
  return Buffer.concat(chunks).toString('utf8');
};
