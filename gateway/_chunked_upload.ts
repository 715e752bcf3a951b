import { once } from 'node:events';
import { connect } from 'node:net';
import { splitAddress } from '../http/mod.ts';

/** Bytes that a client writes at once. */
const BLOCK_BYTES = 65_536;

/** A request with a body in chunks that is on its way. */
export interface ChunkedUpload {
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
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const chunksPerBlock = Math.ceil(BLOCK_BYTES / chunk.length);
  const block = Buffer.from(chunk.repeat(chunksPerBlock), 'latin1');
  for (let sent = 0; sent < bodyBytes; sent += chunksPerBlock * chunkBytes) {
    if (socket.destroyed || received !== '') break;
    await new Promise((done) => {
      socket.once('close', done);
      socket.write(block, done);
    });
    socket.removeAllListeners('close');
  }
  return {
    received: () => received,
    finish: () => socket.write('0\r\n\r\n'),
    isClosed: () => socket.destroyed,
    close: () => socket.destroy(),
  };
};
