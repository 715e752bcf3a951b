import type { AdmissionLoad } from '../admission/mod.ts';
import type { RangeRecord } from '../ranges/mod.ts';
import { findRow } from '../ranges/mod.ts';
import {
  type AttemptReport, chooseInstance, type ServiceView, type Spillover,
} from '../routing/mod.ts';
import { requestClassByKind, type GatewayRequest } from './request.ts';

/** The chosen instance and the node on its host. */
export interface Target {
  readonly kind: 'local' | 'peer';
  readonly node: string;
  readonly address: string;
  readonly instance: string;
  /** Why the instance was chosen. */
  readonly reason: string;
  /** Revision of the range record that named the owner; 0 for a choice by load. */
  readonly version: number;
  /** What this node knew of the instance; undefined for the owner of a key. */
  readonly view?: TargetView;
}

/** Load of an instance as this node saw it when it chose the instance. */
export interface TargetView {
  /** 0: same failure domain, 1: same region, 2: another region. */
  readonly distance: number;
  readonly failureDomain?: string;
  readonly load: number;
  readonly slots: number;
  /** Age in ms of the latest load report; undefined before the first one. */
  readonly ageMs: number | undefined;
}

/** No instance can serve the request now. */
export interface NoTarget {
  readonly kind: 'none';
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Outcome of an attempt at a target, for the routing statistics. */
export interface TargetReport {
  readonly durationMs: number;
  readonly outcome: AttemptReport['outcome'];
  readonly load: AdmissionLoad | undefined;
}

/** What the choice of a target depends on. */
export type TargetRequest = Pick<GatewayRequest, 'service' | 'kind' | 'key'>;

/** Chooses the target of each attempt and collects the outcomes. */
export interface TargetChooser {
  /** Chooses a target; names in `excluded` are instances that are not to be tried again. */
  readonly choose: (
    request: TargetRequest,
    excluded: ReadonlySet<string>,
  ) => Target | NoTarget;
  readonly report: (request: TargetRequest, target: Target, report: TargetReport) => void;
}

/** Address and reachability of a node. */
export interface TargetNode {
  readonly node: string;
  readonly address: string;
  /** The node recently failed to respond. */
  readonly isSuspect: boolean;
  /** The failure domain of the node is evacuated, and the time to hand its keys over has passed. */
  readonly isEvacuated?: boolean;
}

/** A range record with its revision in the store. */
export interface VersionedRecord {
  readonly record: RangeRecord;
  readonly version: number;
}

/** Options of the target chooser. */
export interface TargetChooserOptions {
  /** Name of this node. */
  readonly self: string;
  /** Returns uniform numbers from 0 to less than 1. */
  readonly random: () => number;
  readonly viewOf: (service: string) => ServiceView;
  /** Decides which requests leave the failure domain; without it, the rule by ratio does. */
  readonly spillover?: Spillover;
  readonly recordOf: (service: string) => VersionedRecord | undefined;
  readonly nodeOf: (node: string) => TargetNode | undefined;
}

/** Keys without an owner are assigned when the next instance announces itself. */
const NO_OWNER_RETRY_AFTER_MS = 400;
const NO_INSTANCE_RETRY_AFTER_MS = 300;
const TENTHS = 10;

/**
 * Creates a chooser. A request with a key goes to the owner of the key. Any other request goes to
 * the less loaded of two random instances, preferably in the failure domain of this node.
 *
 * @param options Name of this node, and lookups of service views, range records and nodes.
 * @returns The chooser.
 *
 * @example
 * const target = chooser.choose(request, new Set());
 */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
  const { self, random, spillover } = options;

  const chooseOwner = (request: TargetRequest, key: number): Target | NoTarget => {
    const versioned = options.recordOf(request.service);
    const row = versioned && findRow(versioned.record, key);
    if (versioned === undefined || row?.owner === undefined) {
      return {
        kind: 'none', reason: 'the key has no owner', retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    const { node, instance } = row.owner;
    const ownerNode = options.nodeOf(node);
    if (ownerNode === undefined) {
      return {
        kind: 'none',
        reason: `the node of the owner is lost: ${node}`,
        retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    if (ownerNode.isEvacuated === true) {
      return {
        kind: 'none',
        reason: `the failure domain of the owner is evacuated: ${node}`,
        retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    if (ownerNode.isSuspect && node !== self) {
      return {
        kind: 'none',
        reason: `the node of the owner does not answer: ${node}`,
        retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    return {
      kind: node === self ? 'local' : 'peer',
      node,
      address: ownerNode.address,
      instance,
      reason: 'owns the key',
      version: versioned.version,
    };
  };

  const chooseByLoad = (
    request: TargetRequest,
    excluded: ReadonlySet<string>,
  ): Target | NoTarget => {
    const views = options.viewOf(request.service).instanceViews(excluded);
    const preference = spillover?.prefer(request.service, request.kind, views, random);
    const choice = chooseInstance(views, { random, preference });
    if (choice === undefined) {
      return {
        kind: 'none',
        reason: excluded.size > 0 ? 'no other instance is left' : 'no instance is ready',
        retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS,
      };
    }
    const {
      node, peerAddress, instance, distance, failureDomain, load, slots, loadAgeMs,
    } = choice.view;
    if (preference?.domain === undefined && distance > 0 && failureDomain !== undefined) {
      spillover?.recordOverflow(request.service, failureDomain);
    }
    return {
      kind: node === self ? 'local' : 'peer',
      node,
      address: peerAddress,
      instance,
      reason: choice.reason,
      version: 0,
      view: {
        distance,
        failureDomain,
        load: Math.round(load * TENTHS) / TENTHS,
        slots,
        ageMs: loadAgeMs === undefined ? undefined : Math.round(loadAgeMs),
      },
    };
  };

  return {
    choose: (request, excluded) => {
      const target = request.key === undefined
        ? chooseByLoad(request, excluded)
        : chooseOwner(request, request.key);
      if (target.kind !== 'none') options.viewOf(request.service).recordSent(target.instance);
      return target;
    },
    report: (request, target, { durationMs, outcome, load }) => {
      options.viewOf(request.service).report({
        service: request.service,
        instance: target.instance,
        requestClass: requestClassByKind[request.kind],
        durationMs,
        outcome,
        load,
      });
      const domain = target.view?.failureDomain;
      if (domain !== undefined) spillover?.report(request.service, domain, outcome, load);
    },
  };
};
