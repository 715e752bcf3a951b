import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createDecayingMean } from './_decaying_mean.ts';

/** Load of the instances of a failure domain. */
export interface DomainLoad {
  /** Fraction of the slots in use. */
  readonly utilisation: number;
  /** Requests that wait for a slot, per slot. */
  readonly queuedPerSlot: number;
  /** Time in ms that an instance takes for a request, without the wait for a slot. */
  readonly runMs: number;
  /** Fraction of the attempts that were refused. */
  readonly refusalRate: number;
  /** Time in ms since the latest report. */
  readonly ageMs: number;
}

/** Collects the load reports of the instances of one failure domain. */
export interface DomainLoadMeter {
  readonly recordAttempt: (isRefused: boolean, load: AdmissionLoad | undefined) => void;
  /** Returns the load; `undefined` before the first report with a service rate. */
  readonly read: () => DomainLoad | undefined;
}

/** Time constant in ms of all means; a share has to fall within a second after a shortage. */
const LOAD_TIME_CONSTANT_MS = 500;
/** A report of an instance with two slots says little about its domain. */
const MIN_SAMPLES = 6;
/** Bounds the load that a refusing domain appears to have. */
const MAX_REFUSAL_RATE = 0.8;
const MS_PER_SECOND = 1000;

/** Creates a meter without reports. */
export const createDomainLoadMeter = (clock: Clock): DomainLoadMeter => {
  const utilisation = createDecayingMean(clock, LOAD_TIME_CONSTANT_MS, MIN_SAMPLES);
  const queuedPerSlot = createDecayingMean(clock, LOAD_TIME_CONSTANT_MS, MIN_SAMPLES);
  const runMs = createDecayingMean(clock, LOAD_TIME_CONSTANT_MS, MIN_SAMPLES);
  const refusals = createDecayingMean(clock, LOAD_TIME_CONSTANT_MS, MIN_SAMPLES);
  return {
    recordAttempt: (isRefused, load) => {
      refusals.record(Number(isRefused));
      if (load === undefined) return;
      const {
        inFlight, queued, limit, serviceRate,
      } = load;
      utilisation.record(Math.min(1, inFlight / Math.max(1, limit)));
      queuedPerSlot.record(queued / Math.max(1, limit));
      if (serviceRate > 0) runMs.record((limit * MS_PER_SECOND) / serviceRate);
    },
    read: () => {
      const run = runMs.mean();
      if (run === undefined) return undefined;
      return {
        utilisation: utilisation.mean() ?? 0,
        queuedPerSlot: queuedPerSlot.mean() ?? 0,
        runMs: run,
        refusalRate: Math.min(MAX_REFUSAL_RATE, refusals.mean() ?? 0),
        ageMs: utilisation.ageMs(),
      };
    },
  };
};
