import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { StepError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';

const REQUEST_TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/** Answer of the operator interface that is not a success. */
export class OperatorError extends StepError {
  constructor(
    readonly status: number,
    readonly details: Readonly<Record<string, unknown>>,
    options: { readonly step: string; readonly peer: string },
  ) {
    const field = typeof details.field === 'string' ? `${details.field}: ` : '';
    super(`${field}${String(details.title ?? `status ${status}`)}`, options);
  }
}

/** Calls the operator interface of one node. */
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
        const answer = await request(`${url}${path}`, {
          method,
          headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json' },
          ...(body === undefined ? {} : { body }),
          headersTimeout: REQUEST_TIMEOUT_MS,
          bodyTimeout: REQUEST_TIMEOUT_MS,
          dispatcher,
        });
        const value = parseJson(await answer.body.text());
        if (answer.statusCode < FIRST_ERROR_STATUS) return ok(value);
        const details = value as Readonly<Record<string, unknown>>;
        return err(new OperatorError(answer.statusCode, details, { step, peer: url }));
      } catch (cause) {
        return err(new StepError('the node does not answer', { step, peer: url, cause }));
      }
    },
    close: () => dispatcher.destroy(),
  };
};
