import { encodeRefusal, hopHeaders } from '../forward/mod.ts';
import { refuseNotRun } from './_refusals.ts';

/** Approximate time until a restarted node accepts requests. */
export const STOPPING_RETRY_AFTER_MS = 400;

/** Creates a refusal for a request of a peer to a stopping node. */
export const refuseWhileStopping = () => (
  refuseNotRun('the node stops', STOPPING_RETRY_AFTER_MS, { step: 'peer.receive' })
);

/** Renders the refusal of a request that is in transit when the listener closes. */
export const renderStopRefusal = () => {
  const { refusal } = refuseWhileStopping();
  const headers = [...encodeRefusal(refusal), hopHeaders.stopping, '1'];
  const lines = [`HTTP/1.1 ${refusal.status} Service Unavailable`];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  return [...lines, 'content-length: 0', 'connection: close', '\r\n'].join('\r\n');
};
