import type { IncomingMessage, ServerResponse } from 'node:http';
import { createChunkCollector } from '../bytes/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { endAfterRequest } from '../http/mod.ts';

/** A control request; parameters are the values of the `:name` segments of its route. */
export interface ControlRequest {
  readonly path: string;
  readonly parameters: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A response to a control request. */
export interface ControlResponse {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Handles the requests of a route. */
export type ControlHandler = (
  request: ControlRequest,
) => ControlResponse | Promise<ControlResponse>;

/** Options of {@link createControlRouter}. */
export interface ControlRouterOptions {
  readonly clock: Clock;
  /** Handlers by method and path, such as `GET /instances/:id`. */
  readonly routes: Readonly<Record<string, ControlHandler>>;
  readonly maxBodyBytes: number;
  /** Creates the response to a request whose body is longer than that. */
  readonly onTooLong: (path: string) => ControlResponse;
}

const notFound: ControlResponse = {
  status: 404, contentType: 'text/plain; charset=UTF-8', text: '404 Not Found',
};

/** Creates a response with a JSON body. */
export const jsonResponse = (value: unknown, status = 200): ControlResponse => ({
  status, contentType: 'application/json', text: JSON.stringify(value),
});

/** Creates a response with a text body. */
export const textResponse = (text: string, status = 200): ControlResponse => ({
  status, contentType: 'text/plain; charset=UTF-8', text,
});

const decodeSegment = (segment: string) => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
};

/** Returns the parameters of a path, or undefined if the path does not match the pattern. */
const matchPath = (pattern: readonly string[], path: string) => {
  const segments = path.split('/');
  if (segments.length !== pattern.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, expected] of pattern.entries()) {
    const segment = segments[index]!;
    if (expected.startsWith(':')) {
      if (segment === '') return undefined;
      parameters[expected.slice(1)] = decodeSegment(segment);
    } else if (segment !== expected) return undefined;
  }
  return parameters;
};

/** Reads a body; resolves to undefined if it is too long, and never if the connection closes. */
const readText = (message: IncomingMessage, maxBytes: number) => (
  new Promise<string | undefined>((resolve) => {
    const collector = createChunkCollector({ maxBytes });
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
      resolve(undefined);
      return;
    }
    const onData = (chunk: Buffer) => {
      if (collector.add(chunk)) return;
      message.off('data', onData);
      resolve(undefined);
    };
    message.on('data', onData);
    message.once('end', () => resolve(collector.finish().toString('utf8')));
  })
);

/**
 * Creates the request handler of a control listener.
 *
 * @param options Clock, routes and limit of a body.
 * @returns The handler; it rejects if the handler of the route fails before the response.
 *
 * @example
 * const handle = createControlRouter({ clock, routes: { 'GET /ready': isReady }, ...limits });
 */
export const createControlRouter = (options: ControlRouterOptions) => {
  const { clock, maxBodyBytes } = options;
  const routes = Object.entries(options.routes).map(([route, handler]) => {
    const [method = '', pattern = ''] = route.split(' ');
    return { method, pattern: pattern.split('/'), handler };
  });

  const findRoute = (method: string, path: string) => {
    for (const { method: expected, pattern, handler } of routes) {
      const parameters = method === expected ? matchPath(pattern, path) : undefined;
      if (parameters !== undefined) return { handler, parameters };
    }
    return undefined;
  };

  const respond = (response: ServerResponse, { status, contentType, text }: ControlResponse) => {
    const message = response.req;
    if (response.destroyed) return;
    if (!message.complete) response.shouldKeepAlive = false;
    response.writeHead(status, [
      'content-type', contentType, 'content-length', String(Buffer.byteLength(text)),
    ]);
    if (message.complete) {
      response.end(text);
      return;
    }
    response.write(text);
    endAfterRequest(clock, response);
  };

  return async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const method = message.method === 'HEAD' ? 'GET' : message.method ?? '';
    const [path = ''] = (message.url ?? '').split('?', 1);
    const route = findRoute(method, path);
    const body = await readText(message, maxBodyBytes);
    if (body === undefined) {
      respond(response, options.onTooLong(path));
      return;
    }
    respond(response, route === undefined
      ? notFound
      : await route.handler({ path, parameters: route.parameters, body }));
  };
};
