/**
 * Reads files and standard input by stream, be they plain files, pipes, devices or a terminal: line by line
 * for logs of any size, or whole, up to a limit, for documents.
 */
import * as fs from 'node:fs';
import * as stringDecoder from 'node:string_decoder';

import * as errors from '../base/common/errors.js';

import * as quote from './quote.js';

/** Above every document that an entry takes, with room for comments. */
const MAX_DOCUMENT_BYTES = 8_388_608;

const CHUNK_BYTES = 262_144;

const STANDARD_INPUT = '-';

/**
 * @param file - path, or `-`
 * @returns its name for messages
 */
export const nameOf = (file: string): string =>
  file === STANDARD_INPUT ? 'standard input' : quote.quote(file);

/** The path stands before it, and would stand behind the comma once more. */
const reasonOf = (thrown: unknown): string => errors.normalize(thrown).message.split(',')[0] ?? '';

/** What a read that does not wait finds missing, a stream waits for: a slow pipe ends only where it is closed. */
const readChunks = async (file: string, onChunk: (chunk: Buffer) => void): Promise<void> => {
  const stream =
    file === STANDARD_INPUT
      ? process.stdin
      : fs.createReadStream(file, { highWaterMark: CHUNK_BYTES });
  try {
    for await (const chunk of stream) onChunk(chunk as Buffer);
  } catch (thrown) {
    if (errors.isKnown(thrown)) throw thrown;
    throw errors.fail('notFound', `${nameOf(file)}: ${reasonOf(thrown)}`, { field: 'file' });
  }
};

/**
 * Takes a line, without its end.
 *
 * @param line - cut to one character above the limit where it is longer
 * @param isWhole - whether its end was read; false for what stands behind the last end
 */
export type OnLine = (line: string, isWhole: boolean) => void;

/** Splits chunks of text into lines of which it keeps one, up to a limit. */
const createLineSplitter = (maxCharacters: number, onLine: OnLine) => {
  let line = '';
  const add = (part: string): void => {
    if (line.length <= maxCharacters) line += part.slice(0, maxCharacters + 1 - line.length);
  };
  return {
    push: (text: string): void => {
      let from = 0;
      for (let end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', from)) {
        add(text.slice(from, end));
        onLine(line, true);
        line = '';
        from = end + 1;
      }
      add(text.slice(from));
    },
    end: (): void => {
      if (line !== '') onLine(line, false);
    },
  };
};

/**
 * @param file - path, or `-` for standard input
 * @param maxCharacters - what is kept of a line, less one character that tells a longer one
 * @param onLine - takes each line as it comes
 * @throws AuburnliftError `notFound` naming what can't be read
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
 * @returns the whole document
 * @throws AuburnliftError `notFound` naming what can't be read, `tooLarge` above the limit
 */
export const readDocument = async (file: string): Promise<string> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  await readChunks(file, (chunk) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DOCUMENT_BYTES) {
      const limit = `a document has ${MAX_DOCUMENT_BYTES} bytes at most`;
      throw errors.fail('tooLarge', `${nameOf(file)}: ${limit}`, { field: 'file' });
    }
    chunks.push(chunk);
  });
  return Buffer.concat(chunks).toString('utf8');
};
