import { type ChunkedUpload, sendChunks } from './_chunked_upload.ts';

/** Tells the process of an upload client to send bodies, each on a connection of its own. */
interface SendOrder {
  readonly kind: 'send';
  readonly address: string;
  readonly count: number;
  readonly bodyBytes: number;
  readonly chunkBytes: number;
  readonly deadlineMs: number;
}

/** What the process is told; it answers with the states of all uploads. */
export type UploadOrder = SendOrder | { readonly kind: 'finish' | 'read' | 'close' };

/** What is known of one upload. */
export interface UploadState {
  /** Port of the client. */
  readonly port: number;
  readonly writtenBytes: number;
  readonly received: string;
}

let uploads: readonly ChunkedUpload[] = [];

const run = async (order: UploadOrder) => {
  if (order.kind === 'send') {
    const { address, count, ...body } = order;
    uploads = await Promise.all(Array.from({ length: count }, () => sendChunks(address, body)));
  }
  if (order.kind === 'finish') {
    for (const { received, finish } of uploads) if (received() === '') finish();
  }
  if (order.kind === 'close') for (const { close } of uploads) close();
  process.send?.(uploads.map(({ port, writtenBytes, received }): UploadState => ({
    port, writtenBytes: writtenBytes(), received: received(),
  })));
};

process.on('message', (order: UploadOrder) => {
  run(order);
});
process.once('disconnect', () => process.exit(0));
