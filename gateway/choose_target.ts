import type { AdmissionLoad } from '../admission/mod.ts';
import type { RangeRecord } from '../ranges/mod.ts';
import { findRow } from '../ranges/mod.ts';
import {
  type AttemptReport, chooseInstance, type ServiceView,
} from '../routing/mod.ts';
import { classOfKind, type GatewayRequest } from './request.ts';

/** A node beside the chosen instance. */
export interface Target {
  readonly kind: 'local' | 'peer';
  readonly node: string;
  readonly address: string;
  readonly instance: string;
  /** Why it was chosen, and the version of what the choice went by. */
  readonly reason: string;
  readonly version: number;
}

/** Nothing can serve the request now. */
export interface NoTarget {
  readonly kind: 'none';
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** How an attempt at a target ended, for the statistics. */
export interface TargetReport {
  readonly durationMs: number;
  readonly outcome: AttemptReport['outcome'];
  readonly load: AdmissionLoad | undefined;
}

/** Chooses the node for each attempt. */
export interface TargetChooser {
  readonly choose: (
    request: GatewayRequest,
    excluded: ReadonlySet<string>,
  ) => Target | NoTarget;
  readonly report: (request: GatewayRequest, target: Target, report: TargetReport) => void;
}

/** A node as the chooser needs it. */
export interface TargetNode {
  readonly node: string;
  readonly address: string;
  /** The node did not answer a short time ago. */
  readonly isSuspect: boolean;
}

/** A range record and its revision in the store. */
export interface VersionedRecord {
  readonly record: RangeRecord;
  readonly version: number;
}

/** Options of a chooser. */
export interface TargetChooserOptions {
  readonly self: string;
  readonly random: () => number;
  readonly viewOf: (service: string) => ServiceView;
  readonly recordOf: (service: string) => VersionedRecord | undefined;
  readonly nodeOf: (node: string) => TargetNode | undefined;
}

/** Keys without an owner get one when the next instance announces itself. */
const NO_OWNER_RETRY_AFTER_MS = 400;
const NO_INSTANCE_RETRY_AFTER_MS = 300;

/**
 * Creates the chooser. A request with a key goes to the owner of the key; another one goes to the
 * better of two instances, the near failure domain first.
 *
 * @param options This node's name, views of services, records and nodes.
 * @returns The chooser.
 *
 * @example
 * const target = chooser.choose(request, new Set());
 */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
  const { self } = options;

  const chooseOwner = (request: GatewayRequest, key: number): Target | NoTarget => {
    const versioned = options.recordOf(request.service);
    const row = versioned && findRow(versioned.record, key);
    if (versioned === undefined || row?.owner === undefined) {
      return {
        kind: 'none', reason: 'the key has no owner', retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    const { node, instance } = row.owner;
    const place = options.nodeOf(node);
    if (place === undefined) {
      return {
        kind: 'none',
        reason: `the node of the owner is lost: ${node}`,
        retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    if (place.isSuspect && node !== self) {
      return {
        kind: 'none',
        reason: `the node of the owner does not answer: ${node}`,
        retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
      };
    }
    return {
      kind: node === self ? 'local' : 'peer',
      node,
      address: place.address,
      instance,
      reason: 'owns the key',
      version: versioned.version,
    };
  };

  const chooseByLoad = (
    request: GatewayRequest,
    excluded: ReadonlySet<string>,
  ): Target | NoTarget => {
    const views = options.viewOf(request.service).views(excluded);
    const choice = chooseInstance(views, { random: options.random });
    if (choice === undefined) {
      return {
        kind: 'none',
        reason: excluded.size > 0 ? 'no other instance is left' : 'no instance is ready',
        retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS,
      };
    }
    const { node, peerAddress, instance } = choice.view;
    return {
      kind: node === self ? 'local' : 'peer',
      node,
      address: peerAddress,
      instance,
      reason: choice.reason,
      version: 0,
    };
  };

  return {
    choose: (request, excluded) => {
      const target = request.key === undefined
        ? chooseByLoad(request, excluded)
        : chooseOwner(request, request.key);
      if (target.kind !== 'none') options.viewOf(request.service).sent(target.instance);
      return target;
    },
    report: (request, target, { durationMs, outcome, load }) => {
      options.viewOf(request.service).report({
        service: request.service,
        instance: target.instance,
        requestClass: classOfKind[request.kind],
        durationMs,
        outcome,
        load,
      });
    },
  };
};
