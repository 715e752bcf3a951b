/** Logs by bunyan and metrics by hot-shots. */
export {
  createLogger, type Logger, type LoggerOptions, type LogFields, type LogLevel, silentLogger,
} from './logger.ts';
export {
  createMetrics,
  type MetricName,
  metricNames,
  type Metrics,
  type MetricsOptions,
  type MetricTags,
  silentMetrics,
} from './metrics.ts';
export { type BoundedLoggerOptions, createBoundedLogger } from './bounded_logger.ts';
export { createNodeMetrics, type NodeMetrics } from './node_metrics.ts';
export { openLogOutput } from './output_stream.ts';
