import bunyan from 'bunyan';

/** Levels of log lines. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines of one part; each sentence starts with the part's prefix. */
export interface Logger {
  readonly debug: (fields: LogFields, sentence: string) => void;
  readonly info: (fields: LogFields, sentence: string) => void;
  readonly warn: (fields: LogFields, sentence: string) => void;
  readonly error: (fields: LogFields, sentence: string) => void;
  /** Returns the logger of another part of the same node. */
  readonly forPart: (part: string) => Logger;
}

/** Options of a logger. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  readonly node?: string;
  /** Destination of the lines; standard output by default. */
  readonly stream?: NodeJS.WritableStream;
}

/** Field names whose values never reach a log. */
const SECRET_FIELDS = new Set(['authorization', 'token', 'credential', 'password', 'secret']);

const withoutSecrets = (fields: LogFields): LogFields => {
  for (const field of Object.keys(fields)) {
    if (SECRET_FIELDS.has(field.toLowerCase())) {
      const kept = Object.entries(fields)
        .filter(([name]) => !SECRET_FIELDS.has(name.toLowerCase()));
      return Object.fromEntries(kept);
    }
  }
  return fields;
};

const wrap = (base: bunyan, part: string): Logger => ({
  debug: (fields, sentence) => base.debug(withoutSecrets(fields), `${part}: ${sentence}`),
  info: (fields, sentence) => base.info(withoutSecrets(fields), `${part}: ${sentence}`),
  warn: (fields, sentence) => base.warn(withoutSecrets(fields), `${part}: ${sentence}`),
  error: (fields, sentence) => base.error(withoutSecrets(fields), `${part}: ${sentence}`),
  forPart: (other) => wrap(base, other),
});

/**
 * Creates the logger of a part.
 *
 * @param part Prefix of every sentence, for example `routing`.
 * @param options Level, node name and destination.
 * @returns The logger.
 *
 * @example
 * const logger = createLogger('routing', { node: 'host-1' });
 * logger.info({ request: 'r1', instance: 'i1' }, 'chose the owner of the slot');
 */
export const createLogger = (part: string, options: LoggerOptions = {}): Logger => {
  const base = bunyan.createLogger({
    name: 'marjoramhollow',
    level: options.level ?? 'info',
    stream: options.stream ?? process.stdout,
    ...(options.node === undefined ? {} : { node: options.node }),
  });
  return wrap(base, part);
};

const ignore = () => undefined;

/** A logger that writes nothing, for tests. */
export const silentLogger: Logger = {
  debug: ignore, info: ignore, warn: ignore, error: ignore, forPart: () => silentLogger,
};
