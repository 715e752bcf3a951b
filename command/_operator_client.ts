import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { StepError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';

const REQUEST_TIMEOUT_MS = 10_000;
const MIN_ERROR_STATUS = 400;

/** Error response of a node's operator API. */
export class OperatorApiError extends StepError {
  constructor(
    readonly status: number,
    readonly details: Readonly<Record<string, unknown>>,
    options: { readonly step: string; readonly peer: string },
  ) {
    const field = typeof details.field === 'string' ? `${details.field}: ` : '';
    super(`${field}${String(details.title ?? `status ${status}`)}`, options);
  }
}

/** HTTP client of one node's operator API. */
export interface OperatorClient {
  readonly call: (
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: string,
  ) => Promise<Result<unknown, StepError>>;
  readonly close: () => Promise<void>;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
};

export const createOperatorClient = (
  url: string,
  credential: string,
  tls?: TlsMaterial,
): OperatorClient => {
  const dispatcher = new Agent(tls === undefined ? {} : { connect: { ...tls } });
  return {
    call: async (method, path, body) => {
      const step = `operator.${method.toLowerCase()}`;
      try {
        const response = await request(`${url}${path}`, {
          method,
          headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json' },
          ...(body === undefined ? {} : { body }),
          headersTimeout: REQUEST_TIMEOUT_MS,
          bodyTimeout: REQUEST_TIMEOUT_MS,
          dispatcher,
        });
        const responseBody = parseJson(await response.body.text());
        if (response.statusCode < MIN_ERROR_STATUS) return ok(responseBody);
        const details = responseBody as Readonly<Record<string, unknown>>;
        return err(new OperatorApiError(response.statusCode, details, { step, peer: url }));
      } catch (cause) {
        return err(new StepError('the node did not respond', { step, peer: url, cause }));
      }
    },
    close: () => dispatcher.destroy(),
  };
};
