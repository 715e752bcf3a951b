import { once } from 'node:events';
import { connect } from 'node:net';
import { splitAddress } from '../http/mod.ts';

/** Bytes that a client writes at once. */
const BLOCK_BYTES = 65_536;

/** A request with a body in chunks that is on its way. */
export interface ChunkedUpload {
  /** Local port of its connection. */
  readonly port: number;
  readonly writtenBytes: () => number;
  readonly received: () => string;
  /** Sends the end of the body. */
  readonly finish: () => void;
  readonly isClosed: () => boolean;
  readonly close: () => void;
}

/** A body in chunks. */
export interface ChunkedBody {
  readonly bodyBytes: number;
  readonly chunkBytes: number;
  readonly requestId?: string;
  readonly deadlineMs?: number;
}

const formatChunk = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

/** Formats a part of a body in chunks of one size, of which the last may be smaller. */
const formatChunks = (bytes: number, chunkBytes: number) => {
  const restBytes = bytes % chunkBytes;
  const chunks = formatChunk(chunkBytes).repeat(Math.floor(bytes / chunkBytes));
  return Buffer.from(restBytes === 0 ? chunks : chunks + formatChunk(restBytes), 'latin1');
};

/**
 * Sends a request with a body in chunks of one size, without its end. Resolves once all of it is
 * sent, or an answer or the end of the connection came before.
 */
export const sendChunks = async (
  address: string,
  {
    bodyBytes, chunkBytes, requestId = 'r-chunks', deadlineMs = 5000,
  }: ChunkedBody,
): Promise<ChunkedUpload> => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host).on('error', () => undefined);
  let received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  await once(socket, 'connect');
  socket.write([
    'POST /unsafe/a HTTP/1.1', 'host: shop.example', `request-id: ${requestId}`,
    `deadline-ms: ${deadlineMs}`, 'transfer-encoding: chunked', '\r\n',
  ].join('\r\n'));
  const bytesPerBlock = Math.ceil(BLOCK_BYTES / formatChunk(chunkBytes).length) * chunkBytes;
  const fullBlock = formatChunks(bytesPerBlock, chunkBytes);
  for (let sent = 0; sent < bodyBytes; sent += bytesPerBlock) {
    if (socket.destroyed || received !== '') break;
    const leftBytes = bodyBytes - sent;
    const block = leftBytes < bytesPerBlock ? formatChunks(leftBytes, chunkBytes) : fullBlock;
    await new Promise((done) => {
      socket.once('close', done);
      socket.write(block, done);
    });
    socket.removeAllListeners('close');
  }
  return {
    port: socket.localPort ?? 0,
    writtenBytes: () => socket.bytesWritten,
    received: () => received,
    finish: () => socket.write('0\r\n\r\n'),
    isClosed: () => socket.destroyed,
    close: () => socket.destroy(),
  };
};
