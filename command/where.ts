import { fetchWhere, type WhereAnswer, type WhereDestination } from '../fleet/mod.ts';
import { isAddress } from '../http/mod.ts';
import { exitStatuses, formatTable, type Output } from './_output.ts';

/** Options of `where` as given on the command line. */
export interface WhereOptions {
  /** Address of the peer listener of the node. */
  readonly node?: string | undefined;
  readonly method?: string | undefined;
  readonly url?: string | undefined;
  readonly key?: string | undefined;
}

const HTTP_OK = 200;
const HEADER = [
  'instance', 'node', 'domain', 'load', 'slots', 'room', 'rate', 'takes', 'report age', '',
];

const describeUsageError = ({
  node, method, url, key,
}: WhereOptions): string | undefined => {
  if (node === undefined || !isAddress(node)) {
    return 'where: --node HOST:PORT is missing or invalid';
  }
  if (method === undefined || !/^[A-Z]+$/u.test(method)) {
    return 'where: --method is missing or invalid, for example GET';
  }
  if (url === undefined || !/^https?:\/\//u.test(url) || !URL.canParse(url)) {
    return 'where: --url is missing or invalid, for example http://shop.example/orders/7';
  }
  if (key !== undefined && !/^\d{1,15}$/u.test(key)) return 'where: --key must be a whole number';
  return undefined;
};

const formatDestination = ({
  service, weight, target, candidates, shares, rejections,
}: WhereDestination): string => {
  const place = target.kind === 'none'
    ? `nowhere: ${target.reason}`
    : `${target.instance} at ${target.node} (${target.kind}, ${target.address}): ${target.reason}`;
  const rows = candidates.map((one) => [
    one.instance,
    one.node,
    one.failureDomain,
    String(one.load),
    String(one.slots),
    String(one.room),
    String(one.serviceRate),
    String(one.acceptance),
    one.reportAgeMs === null ? 'none' : `${one.reportAgeMs} ms`,
    one.ejected ? 'ejected' : '',
  ]);
  return [
    `service ${service}, weight ${weight}: ${place}`,
    ...Object.entries(shares).map(([domain, share]) => (
      `share for ${domain}: ${share.toFixed(2)}`
    )),
    ...rejections.map((rejection) => `may be rejected: ${rejection}`),
    ...(rows.length === 0 ? [] : [formatTable(HEADER, rows)]),
  ].join('\n');
};

/** Formats an answer for people. */
const formatAnswer = ({
  node, revision, route, destinations, rejections,
}: WhereAnswer): string => [
  `node ${node}, contract revision ${revision ?? 'none'}`,
  ...(route === null ? [] : [
    `route ${route.name}: ${route.kind}, priority ${route.priority}, ${route.timeoutMs} ms`,
  ]),
  ...rejections.map((rejection) => `rejected: ${rejection}`),
  ...destinations.map(formatDestination),
].join('\n');

const parseAnswer = (text: string): WhereAnswer | undefined => {
  try {
    const answer = JSON.parse(text) as WhereAnswer;
    return Array.isArray(answer.destinations) ? answer : undefined;
  } catch {
    return undefined;
  }
};

/**
 * `where --node HOST:PORT --method METHOD --url URL [--key N]`: prints where a node would send a
 * request now, without sending it.
 *
 * @param options Options as given on the command line.
 * @param json Whether to print JSON.
 * @param output Destination of the text.
 * @returns The exit status.
 *
 * @example
 * await where({ node: '10.0.0.2:7000', method: 'GET', url }, false, output);
 */
export const where = async (
  options: WhereOptions,
  json: boolean,
  output: Output,
): Promise<number> => {
  const usageError = describeUsageError(options);
  if (usageError !== undefined) {
    output.error(usageError);
    return exitStatuses.usage;
  }
  const {
    node = '', method = '', url = '', key,
  } = options;
  try {
    const query = { method, url, ...(key === undefined ? {} : { key: Number(key) }) };
    const { status, text } = await fetchWhere(node, query);
    const answer = status === HTTP_OK ? parseAnswer(text) : undefined;
    if (answer === undefined) {
      output.error(`${node} does not answer this question (status ${status}): it is no peer `
        + 'listener of a node, or of an earlier build');
      return exitStatuses.failed;
    }
    output.print(json ? JSON.stringify(answer) : formatAnswer(answer));
    return exitStatuses.ok;
  } catch (error) {
    output.error(`the node at ${node} does not answer: ${(error as Error).message}`);
    return exitStatuses.failed;
  }
};
