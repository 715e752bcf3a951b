/** Logs, through bunyan, and metrics, sent to StatsD or exposed to Prometheus. */
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
