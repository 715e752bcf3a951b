/** The micro-kernel: starts services in dependency order; services find each other by name. */
export {
  createKernel, type FindService, type Kernel, type RunningService, type ServiceDefinition,
} from './kernel.ts';
