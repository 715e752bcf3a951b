import { Agent, type Dispatcher, request } from 'undici';

/** What a caller has got; the status is 0 and the text the error without a whole answer. */
export interface TestAnswer {
  readonly id: string;
  readonly path: string;
  /** Monotonic time in ms at which the request was sent. */
  readonly sentAt: number;
  readonly status: number;
  readonly text: string;
}

/** Options of {@link sendTestRequest}. */
export interface TestRequestOptions {
  readonly id: string;
  readonly deadlineMs: number;
  /** Keeps the connection; by default, the request has one of its own. */
  readonly kept?: Dispatcher;
}

/** Statuses by which a request has not run, and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends a request, which must not run twice on the routes of orders, and reads its answer. */
export const sendTestRequest = async (
  address: string,
  path: string,
  { id, deadlineMs, kept }: TestRequestOptions,
): Promise<TestAnswer> => {
  const dispatcher = kept ?? new Agent({ connections: 1, pipelining: 1 });
  const sent = { id, path, sentAt: performance.now() };
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      dispatcher,
      method: path.startsWith('/orders/') ? 'POST' : 'GET',
      headers: { host: 'shop.example', 'request-id': id, 'deadline-ms': String(deadlineMs) },
    });
    return { ...sent, status: statusCode, text: await body.text() };
  } catch (error) {
    return { ...sent, status: 0, text: String(error) };
  } finally {
    if (kept === undefined) dispatcher.close().catch(() => undefined);
  }
};

/**
 * Finds the answers that say of a request that ran that it did not, those to requests that ran
 * twice although they must not, and those with a status that may not be.
 */
export const findWrongAnswers = (
  answers: readonly TestAnswer[],
  { runsOf, mayBe }: {
    readonly runsOf: (id: string) => number;
    readonly mayBe: (status: number) => boolean;
  },
) => answers.filter(({ id, path, status }) => {
  const runs = runsOf(id);
  if (NOT_RUN_STATUSES.has(status) && runs > 0) return true;
  return (path.startsWith('/orders/') && runs > 1) || !mayBe(status);
}).map((answer) => ({ ...answer, runs: runsOf(answer.id) }));

/** Creates a sender of requests with ids of their own; kept connections are shared. */
export const createTestSender = (idPrefix: string, deadlineMs: number) => {
  const kept = new Agent({ connections: 16, pipelining: 1 });
  let nextId = 0;
  return (address: string, path: string, isKept = false): Promise<TestAnswer> => {
    nextId += 1;
    return sendTestRequest(address, path, {
      id: `${idPrefix}-${nextId}`, deadlineMs, ...(isKept ? { kept } : {}),
    });
  };
};
