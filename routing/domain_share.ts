import type { DomainLoad } from './_domain_load.ts';

/** The own failure domain, as the plan sees it. */
export interface OwnDomain extends DomainLoad {
  /** Requests that all instances of the domain run concurrently. */
  readonly slots: number;
  /** Fraction of the requests that stayed when the load was measured. */
  readonly stayed: number;
}

/** Another failure domain with recent reports and a known round trip. */
export interface OtherDomain extends DomainLoad {
  readonly domain: string;
  /** Requests that all instances of the domain run concurrently. */
  readonly slots: number;
  /** Additional round trip in ms compared with the own domain. */
  readonly roundTripMs: number;
  /** Fraction of the requests that went there when the load was measured. */
  readonly sent: number;
}

/** Requests of one route kind. */
export interface KindDemand {
  readonly kind: string;
  /** Fraction of all requests for the service. */
  readonly fraction: number;
  /** Price in ms of sending a request of this kind to another domain. */
  readonly priceMs: number;
}

/** Fraction of the requests of a kind to send to each other domain. */
export type SharesByKind = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Shares of the requests, and what the other domains could take beyond them. */
export interface DomainPlan {
  readonly shares: SharesByKind;
  /** Fraction of all requests that each other domain has free slots for. */
  readonly rooms: ReadonlyMap<string, number>;
}

/** Part of the requests that stays, so that the load of the own domain remains known. */
const MAX_SHARE = 0.9;
/** Utilisation up to which other domains get a share; above it, their own requests wait longer. */
const MAX_SHARED_UTILISATION = 0.92;
/** Utilisation up to which other domains take requests beyond their share. */
const MAX_UTILISATION = 0.98;
/**
 * Part of the free capacity of another domain that one plan uses. Other domains in need see the
 * same free capacity, and the reports that show its use arrive later.
 */
const FREE_CAPACITY_PART = 0.5;
/** Part of a share that ends when its domain is overloaded; the rest shows when it no longer is. */
const OVERLOAD_DECREASE = 0.8;
/** Correction, relative to the error of the load, in one measuring time. */
const LOAD_GAIN = 0.5;
const MAX_LOAD_CORRECTION = 0.5;
/** A domain counts as slow when remote responses are faster by more than the noise of the means. */
const SLOW_RATIO = 0.8;

/** Time in ms to the response; one that refuses part of the attempts costs several of them. */
const responseMs = ({ queuedPerSlot, runMs, refusalRate }: DomainLoad) => (
  (runMs * (1 + queuedPerSlot)) / (1 - refusalRate)
);

/**
 * Demand per capacity. A refused request is tried again at other instances of the domain, so that
 * the fraction of the requests that find no room is below that of the attempts.
 */
const demandPerCapacity = ({ utilisation, refusalRate }: DomainLoad) => (
  utilisation / (1 - refusalRate ** 2)
);

/** Fraction of the requests that is to leave when another domain responds in `remoteMs`. */
const wantedShare = (own: OwnDomain, remoteMs: number) => {
  const ratio = remoteMs / responseMs(own);
  const correction = Math.max(
    -MAX_LOAD_CORRECTION,
    Math.min(MAX_LOAD_CORRECTION, LOAD_GAIN * (ratio - 1)),
  );
  const stay = (own.stayed * (1 + correction)) / Math.max(demandPerCapacity(own), Number.EPSILON);
  const slowRatio = remoteMs / own.runMs;
  const staySlow = slowRatio < SLOW_RATIO ? slowRatio : 1;
  return 1 - Math.min(1, stay, staySlow);
};

/** Fraction of the requests that a domain could take in addition, up to a utilisation. */
const roomAt = (other: OtherDomain, maxUtilisation: number, ownRequestsPerMs: number) => (
  ((maxUtilisation - demandPerCapacity(other)) * other.slots) / other.runMs / ownRequestsPerMs
);

/** Largest share of the requests for a domain; it falls while the domain is overloaded. */
const limitOf = (other: OtherDomain, ownRequestsPerMs: number) => {
  const room = roomAt(other, MAX_SHARED_UTILISATION, ownRequestsPerMs);
  if (room >= 0) return other.sent + room * FREE_CAPACITY_PART;
  const overload = (demandPerCapacity(other) - MAX_SHARED_UTILISATION)
    / (MAX_UTILISATION - MAX_SHARED_UTILISATION);
  return other.sent * (1 - Math.min(1, overload) * OVERLOAD_DECREASE);
};

/**
 * Plans which fraction of the requests of each kind leaves the own failure domain. Requests leave
 * while the expected local response time exceeds that of another domain with the round trip and
 * the price of the transfer, and only as many as that domain has capacity for. Kinds that are
 * cheap to transfer leave first.
 *
 * @param own Load of the own domain.
 * @param others Load of the other domains with recent reports.
 * @param kinds The route kinds in use.
 * @returns The fraction for each other domain, for each kind, and the room that is left there.
 *
 * @example
 * const { shares } = planDomainShares(own, others, [{ kind: 'safe', fraction: 1, priceMs: 2 }]);
 */
export const planDomainShares = (
  own: OwnDomain,
  others: readonly OtherDomain[],
  kinds: readonly KindDemand[],
): DomainPlan => {
  const demand = Math.max(demandPerCapacity(own), Number.EPSILON) / Math.max(own.stayed, 0.1);
  const ownRequestsPerMs = (demand * own.slots) / own.runMs;
  const limits = new Map(others.map((other) => [other.domain, limitOf(other, ownRequestsPerMs)]));
  const shares = new Map<string, ReadonlyMap<string, number>>();
  let taken = 0;
  for (const { kind, fraction, priceMs } of kinds.toSorted((one, two) => (
    one.priceMs - two.priceMs
  ))) {
    const wanted = others.map((other) => ({
      domain: other.domain,
      share: wantedShare(own, responseMs(other) + other.roundTripMs + priceMs),
    })).filter(({ share }) => share > 0);
    const total = wanted.reduce((largest, { share }) => Math.max(largest, share), 0);
    const roomOf = ({ domain, share }: (typeof wanted)[number]) => (
      Math.min(share, limits.get(domain)!)
    );
    const room = wanted.reduce((sum, one) => sum + roomOf(one), 0);
    const amount = Math.min(Math.max(0, total - taken), fraction * MAX_SHARE, room);
    const byDomain = new Map<string, number>();
    for (const one of amount > 0 ? wanted : []) {
      const part = (amount * roomOf(one)) / room;
      limits.set(one.domain, limits.get(one.domain)! - part);
      if (part > 0) byDomain.set(one.domain, part / fraction);
    }
    taken += amount;
    shares.set(kind, byDomain);
  }
  const rooms = new Map(others.map((other) => [
    other.domain, Math.max(0, roomAt(other, MAX_UTILISATION, ownRequestsPerMs)),
  ]));
  return { shares, rooms };
};
