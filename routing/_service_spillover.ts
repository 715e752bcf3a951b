import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { InstanceView, OverflowTerms } from './choose_instance.ts';
import { createDecayingMean, type DecayingMean } from './_decaying_mean.ts';
import { createDomainLoadMeter, type DomainLoad, type DomainLoadMeter } from './_domain_load.ts';
import {
  type DomainPlan, type KindDemand, planDomainShares, type SharesByKind,
} from './domain_share.ts';

/** A failure domain as the spillover of one service sees it. */
interface DomainState {
  readonly meter: DomainLoadMeter;
  /** Fraction of all requests that was sent there; of the own domain, to all others. */
  readonly sent: DecayingMean;
  /** Successive attempts that ended without a load report. */
  silentAttempts: number;
  sampledAt: number;
  /** Requests beyond the share since the last update. */
  overflow: number;
}

/** Shares of one service for each kind and domain. */
export interface ServiceSpillover {
  /** Recomputes the shares if `UPDATE_INTERVAL_MS` has passed. */
  readonly update: (views: readonly InstanceView[]) => void;
  /** Draws the domain of a request; `undefined` for the own domain. */
  readonly draw: (kind: RouteKind, random: () => number) => string | undefined;
  /** Returns the terms of an overflow to a domain; `undefined` for a domain without reports. */
  readonly overflowTo: (kind: RouteKind, domain: string) => OverflowTerms | undefined;
  /** Counts a request that went to another domain beyond the shares. */
  readonly recordOverflow: (domain: string) => void;
  readonly recordAttempt: (
    domain: string,
    outcome: string,
    load: AdmissionLoad | undefined,
  ) => void;
  /** Returns the fraction of all requests that goes to each other domain. */
  readonly shares: () => ReadonlyMap<string, number>;
  readonly loadOf: (domain: string) => DomainLoad | undefined;
}

/** Options of the spillover of one service. */
export interface ServiceSpilloverOptions {
  readonly clock: Clock;
  readonly ownDomain: string;
  /** Returns the slots of all usable instances of the service in a domain. */
  readonly slotsOf: (domain: string) => number;
  /** Returns the round trip in ms to a domain; `undefined` while it is unknown. */
  readonly roundTripMsOf: (domain: string) => number | undefined;
  /** Returns the price in ms of sending a request of this kind to another domain. */
  readonly priceMsOf: (kind: RouteKind) => number;
  /** Called after each update of the shares. */
  readonly onUpdate: (shares: ReadonlyMap<string, number>) => void;
}

const UPDATE_INTERVAL_MS = 250;
/** A service without requests for some time starts with the damping of a busy one. */
const MAX_ELAPSED_MS = 500;
/**
 * Time constant in ms of the fractions that are sent. A plan relates them to reports that are about
 * a second old; with 500 ms, shares of 80 simulated nodes swung between 0.02 and 0.7.
 */
const SENT_TIME_CONSTANT_MS = 2000;
/** Age in ms from which load reports say nothing about the present. */
const MAX_REPORT_AGE_MS = 4000;
/** Successive attempts without a load report after which a domain counts as cut off. */
const MAX_SILENT_ATTEMPTS = 3;
/** Time constants in ms with which shares rise and fall; reports are about a second old. */
const RISE_TIME_CONSTANT_MS = 500;
const FALL_TIME_CONSTANT_MS = 250;
/** Smaller shares end: their reports are not worth the round trips. */
const MIN_SHARE = 0.005;
/** Utilisation of the own domain from which the loads of the others need to be known. */
const SAMPLE_UTILISATION = 0.7;
/**
 * Minimum time in ms between two requests that are sent to other domains for their load reports.
 * While all domains are short, no others leave.
 */
const SAMPLE_INTERVAL_MS = 1000;
/** The interval doubles with each attempt without a report, up to 2^5 times the first one. */
const MAX_SAMPLE_BACKOFF = 5;
/** Weight that earlier requests keep at each update in the fractions of the route kinds. */
const KIND_RETENTION = 0.9;
/** Assumed time in ms of a request at a domain without reports; only ratios matter. */
const DEFAULT_RUN_MS = 100;

/** Creates the spillover of one service; all requests stay until there are reports. */
export const createServiceSpillover = (options: ServiceSpilloverOptions): ServiceSpillover => {
  const { clock, ownDomain } = options;
  const stateByDomain = new Map<string, DomainState>();
  const requestsByKind = new Map<RouteKind, number>();
  let sharesByKind: SharesByKind = new Map();
  /** For a service without an instance in the own domain. */
  let sharesWithoutOwn: ReadonlyMap<string, number> | undefined;
  let overall: ReadonlyMap<string, number> = new Map();
  /** Room in the domains about which the shares decide. */
  let rooms: ReadonlyMap<string, number> = new Map();
  let requests = 0;
  let sampleDomain: string | undefined;
  let sampledAt = -Infinity;
  let updatedAt = -Infinity;

  const stateOf = (domain: string) => {
    const known = stateByDomain.get(domain);
    if (known !== undefined) return known;
    const state: DomainState = {
      meter: createDomainLoadMeter(clock),
      sent: createDecayingMean(clock, SENT_TIME_CONSTANT_MS),
      silentAttempts: 0,
      sampledAt: -Infinity,
      overflow: 0,
    };
    stateByDomain.set(domain, state);
    return state;
  };

  const loadOf = (domain: string) => stateByDomain.get(domain)?.meter.read();
  const isOwnKnown = () => (loadOf(ownDomain)?.ageMs ?? Infinity) <= MAX_REPORT_AGE_MS;
  const isDecided = (domain: string) => (
    sharesWithoutOwn === undefined && isOwnKnown()
    && loadOf(domain) !== undefined && options.roundTripMsOf(domain) !== undefined
  );
  const roundTripMsTo = (domain: string) => Math.max(
    0,
    (options.roundTripMsOf(domain) ?? 0) - (options.roundTripMsOf(ownDomain) ?? 0),
  );

  const listKinds = (): readonly KindDemand[] => {
    const kinds = [...requestsByKind];
    const total = kinds.reduce((sum, [, count]) => sum + count, 0);
    return kinds.map(([kind, count]) => ({
      kind, fraction: count / total, priceMs: options.priceMsOf(kind),
    }));
  };

  /** All requests leave, in proportion to the capacity of the other domains. */
  const shareByCapacity = (domains: readonly string[]) => {
    const capacities = domains.map((domain) => (
      Math.max(1, options.slotsOf(domain)) / (loadOf(domain)?.runMs ?? DEFAULT_RUN_MS)
    ));
    const total = capacities.reduce((sum, capacity) => sum + capacity, 0);
    return new Map(domains.map((domain, index) => [domain, capacities[index]! / total]));
  };

  const listOthers = (domains: readonly string[]) => domains.filter(isDecided).flatMap((domain) => {
    const { meter, sent, silentAttempts } = stateOf(domain);
    const load = meter.read()!;
    if (load.ageMs > MAX_REPORT_AGE_MS || silentAttempts >= MAX_SILENT_ATTEMPTS) return [];
    return [{
      ...load,
      domain,
      slots: options.slotsOf(domain),
      roundTripMs: roundTripMsTo(domain),
      sent: sent.mean() ?? 0,
    }];
  });

  const plan = (domains: readonly string[], kinds: readonly KindDemand[]): DomainPlan => {
    const load = loadOf(ownDomain);
    if (load === undefined || !isOwnKnown()) return { shares: new Map(), rooms: new Map() };
    const stayed = 1 - (stateOf(ownDomain).sent.mean() ?? 0);
    const own = { ...load, slots: Math.max(1, options.slotsOf(ownDomain)), stayed };
    return planDomainShares(own, listOthers(domains), kinds);
  };

  const moveTowards = (targets: SharesByKind, kinds: readonly KindDemand[], elapsedMs: number) => {
    const rise = 1 - Math.exp(-elapsedMs / RISE_TIME_CONSTANT_MS);
    const fall = 1 - Math.exp(-elapsedMs / FALL_TIME_CONSTANT_MS);
    return new Map(kinds.map(({ kind }) => {
      const now = sharesByKind.get(kind);
      const wanted = targets.get(kind);
      const next = new Map<string, number>();
      for (const domain of stateByDomain.keys()) {
        const share = now?.get(domain) ?? 0;
        const target = wanted?.get(domain) ?? 0;
        const moved = share + (target - share) * (target > share ? rise : fall);
        if (moved >= MIN_SHARE) next.set(domain, moved);
      }
      return [kind, next];
    }));
  };

  const sumOverKinds = (kinds: readonly KindDemand[]) => {
    const sums = new Map<string, number>();
    for (const { kind, fraction } of kinds) {
      for (const [domain, share] of sharesByKind.get(kind) ?? []) {
        sums.set(domain, (sums.get(domain) ?? 0) + share * fraction);
      }
    }
    return sums;
  };

  /** Selects the domain with the oldest reports if the own domain may soon need it. */
  const selectSample = (domains: readonly string[]) => {
    const now = clock.now();
    sampleDomain = undefined;
    if ((loadOf(ownDomain)?.utilisation ?? 0) < SAMPLE_UTILISATION) return;
    if (now - sampledAt < SAMPLE_INTERVAL_MS) return;
    let oldestMs = SAMPLE_INTERVAL_MS;
    for (const domain of domains) {
      const state = stateOf(domain);
      const backoff = 2 ** Math.min(MAX_SAMPLE_BACKOFF, state.silentAttempts);
      const isDue = now - state.sampledAt >= SAMPLE_INTERVAL_MS * backoff;
      const ageMs = loadOf(domain)?.ageMs ?? 0;
      if (!isDue || ageMs <= oldestMs || !isDecided(domain)) continue;
      oldestMs = ageMs;
      sampleDomain = domain;
    }
  };

  /** Records the fractions that went to other domains since the last update. */
  const recordSent = (domains: readonly string[]) => {
    let left = 0;
    for (const domain of domains) {
      const state = stateOf(domain);
      const sent = (overall.get(domain) ?? 0) + state.overflow / Math.max(1, requests);
      state.overflow = 0;
      state.sent.record(sent);
      left += sent;
    }
    stateOf(ownDomain).sent.record(Math.min(1, left));
    requests = 0;
  };

  const update: ServiceSpillover['update'] = (views) => {
    const sinceUpdateMs = clock.now() - updatedAt;
    if (sinceUpdateMs < UPDATE_INTERVAL_MS) return;
    const elapsedMs = Math.min(sinceUpdateMs, MAX_ELAPSED_MS);
    updatedAt = clock.now();
    const present = new Set(views.map(({ failureDomain = ownDomain }) => failureDomain));
    const hasOwn = present.delete(ownDomain);
    const domains = [...present];
    sharesWithoutOwn = hasOwn || domains.length === 0 ? undefined : shareByCapacity(domains);
    const kinds = listKinds();
    recordSent(domains);
    const planned = plan(domains, kinds);
    rooms = new Map(domains.filter(isDecided).map((domain) => (
      [domain, planned.rooms.get(domain) ?? 0]
    )));
    sharesByKind = moveTowards(planned.shares, kinds, elapsedMs);
    overall = sharesWithoutOwn ?? sumOverKinds(kinds);
    for (const [kind, count] of requestsByKind) requestsByKind.set(kind, count * KIND_RETENTION);
    selectSample(domains);
    options.onUpdate(overall);
  };

  return {
    update,
    draw: (kind, random) => {
      requestsByKind.set(kind, (requestsByKind.get(kind) ?? 0) + 1);
      requests += 1;
      if (sampleDomain !== undefined && kind !== 'download') {
        const domain = sampleDomain;
        sampleDomain = undefined;
        sampledAt = clock.now();
        stateOf(domain).sampledAt = sampledAt;
        return domain;
      }
      const shares = sharesWithoutOwn ?? sharesByKind.get(kind);
      if (shares === undefined || shares.size === 0) return undefined;
      let remaining = random();
      for (const [domain, share] of shares) {
        remaining -= share;
        if (remaining < 0) return domain;
      }
      return undefined;
    },
    overflowTo: (kind, domain) => {
      const room = rooms.get(domain);
      if (room === undefined) return undefined;
      return { room, costMs: roundTripMsTo(domain) + options.priceMsOf(kind) };
    },
    recordOverflow: (domain) => {
      stateOf(domain).overflow += 1;
    },
    recordAttempt: (domain, outcome, load) => {
      if (outcome === 'cancelled' && load === undefined) return;
      const state = stateOf(domain);
      state.silentAttempts = load === undefined ? state.silentAttempts + 1 : 0;
      state.meter.recordAttempt(outcome === 'refused', load);
    },
    shares: () => overall,
    loadOf,
  };
};
