import type { Clock } from '../clock/mod.ts';
import type { DirectoryInstance } from '../directory/mod.ts';
import type { InstancePort, LocalInstance } from '../gateway/mod.ts';
import type { Announcement, Owner } from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** The instance on this host, from its announcements and from how its address answers. */
export interface InstanceRegistry {
  /** Takes an announcement over; false for one that was overtaken by a newer one. */
  readonly announce: (announcement: Announcement) => boolean;
  /** The instance leaves without further announcements. */
  readonly leave: (instance: string) => void;
  readonly local: () => LocalInstance | undefined;
  readonly owner: () => Owner | undefined;
  readonly slots: () => number;
  /** No process listens at the instance's address, so no life of it holds keys. */
  readonly isVacant: () => boolean;
  /** Time in ms since the last announcement. */
  readonly silentMs: () => number;
  readonly describe: () => DirectoryInstance | undefined;
  readonly onChange: (listener: () => void) => void;
  /** Looks whether a silent or leaving instance still has a process. */
  readonly check: () => Promise<void>;
}

/** Options of the registry. */
export interface InstanceRegistryOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly logger: Logger;
  /** Address of the instance by the settings; empty when they name none. */
  readonly instanceAddress: string;
  readonly announceIntervalMs: number;
  /** Time after an acknowledged departure by which no new request may reach the instance. */
  readonly drainMs: number;
  readonly openPort: (announcement: Announcement, onRefused: () => void) => InstancePort;
  /** Tells whether the address refuses connections. */
  readonly isRefused: (address: string) => Promise<boolean>;
}

interface Life {
  announcement: Announcement;
  state: LocalInstance['state'];
  closesAt: number;
  announcedAt: number;
  coldUntil: number;
  readonly port: InstancePort;
}

/** Announcements that may be missed before the address is looked at. */
const MISSED_ANNOUNCEMENTS = 2.5;
/** Part of the drain time in which requests that are on their way are still taken. */
const DRAIN_USE = 0.5;
/** A second look after this time in ms, since one refusal may come from a process that starts. */
const CONFIRM_DELAY_MS = 60;

/**
 * Creates a registry without an instance.
 *
 * @param options Clock, node, logger, limits and port.
 * @returns The registry.
 *
 * @example
 * const registry = createInstanceRegistry(options);
 * registry.announce(announcement);
 */
export const createInstanceRegistry = (options: InstanceRegistryOptions): InstanceRegistry => {
  const { clock, node } = options;
  const logger = options.logger.forPart('instance');
  const listeners: (() => void)[] = [];
  let life: Life | undefined;
  let isConfirming = false;
  /** No instance has announced itself, and the address of the settings refuses connections. */
  let isAddressVacant = false;

  const notify = () => {
    for (const listener of listeners) listener();
  };

  const isSilent = ({ announcedAt }: Life) => (
    clock.now() - announcedAt > options.announceIntervalMs * MISSED_ANNOUNCEMENTS
  );

  const setState = (current: Life, state: Life['state'], reason: string) => {
    if (current.state === state) return;
    const { instance, startedAt, sequence } = current.announcement;
    logger.info({
      instance, startedAt, sequence, from: current.state, to: state, reason,
    }, 'the state of the instance changed');
    Object.assign(current, { state });
    notify();
  };

  /** Two refused connections prove that the process has ended, and its holds with it. */
  const isRefusedTwice = async (address: string): Promise<boolean> => {
    isConfirming = true;
    const first = await options.isRefused(address);
    if (first) await clock.sleep(CONFIRM_DELAY_MS);
    const second = first && await options.isRefused(address);
    isConfirming = false;
    return second;
  };

  const confirmEnd = async (current: Life) => {
    if (isConfirming || current.state === 'down') return;
    const isEnded = await isRefusedTwice(current.announcement.address);
    if (current !== life) return;
    if (isEnded) setState(current, 'down', 'its address refuses connections');
    else if (current.state === 'ready' && isSilent(current)) {
      setState(current, 'silent', 'its announcements do not arrive');
    }
  };

  const begin = (announcement: Announcement): Life => {
    life?.port.close();
    const opened: Life = {
      announcement,
      state: 'ready',
      closesAt: Infinity,
      announcedAt: clock.now(),
      coldUntil: clock.wallTime() + announcement.coldMs,
      port: options.openPort(announcement, () => {
        if (life === opened) confirmEnd(opened).catch(() => undefined);
      }),
    };
    logger.info({
      instance: announcement.instance,
      startedAt: announcement.startedAt,
      service: announcement.service,
      address: announcement.address,
      settingsAddress: options.instanceAddress,
      slots: announcement.slots,
      coldMs: announcement.coldMs,
    }, 'an instance announced itself');
    return opened;
  };

  const close = (current: Life, reason: string) => {
    if (current.state === 'draining' || current.state === 'down') return;
    Object.assign(current, { closesAt: clock.now() + options.drainMs * DRAIN_USE });
    setState(current, 'draining', reason);
  };

  const isOvertaken = ({ announcement: known }: Life, { startedAt, sequence }: Announcement) => (
    startedAt < known.startedAt
    || (startedAt === known.startedAt && sequence <= known.sequence)
  );

  const announce: InstanceRegistry['announce'] = (announcement) => {
    if (life !== undefined && isOvertaken(life, announcement)) {
      logger.warn({
        instance: announcement.instance, startedAt: announcement.startedAt,
      }, 'ignored an announcement that was overtaken');
      return false;
    }
    const isSameLife = life?.announcement.instance === announcement.instance
      && life.announcement.startedAt === announcement.startedAt;
    if (life === undefined || !isSameLife) {
      life = begin(announcement);
      notify();
    }
    Object.assign(life, { announcement, announcedAt: clock.now() });
    if (announcement.isDraining) close(life, 'it announced that it leaves');
    else if (life.state === 'down' || life.state === 'silent') {
      setState(life, 'ready', 'it announced itself again');
    }
    return true;
  };

  return {
    announce,
    leave: (instance) => {
      if (life?.announcement.instance === instance) close(life, 'it left');
    },
    local: () => life && {
      instance: life.announcement.instance,
      service: life.announcement.service,
      state: life.state,
      closesAt: life.closesAt,
      port: life.port,
    },
    owner: () => life && {
      node, instance: life.announcement.instance, startedAt: life.announcement.startedAt,
    },
    slots: () => life?.announcement.slots ?? 1,
    isVacant: () => (life === undefined ? isAddressVacant : life.state === 'down'),
    silentMs: () => (life === undefined ? Infinity : clock.now() - life.announcedAt),
    describe: () => life && {
      instance: life.announcement.instance,
      startedAt: life.announcement.startedAt,
      service: life.announcement.service,
      slots: life.announcement.slots,
      state: life.state,
      coldUntil: life.coldUntil,
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    check: async () => {
      if (life === undefined) {
        if (options.instanceAddress === '' || isConfirming || isAddressVacant) return;
        isAddressVacant = await isRefusedTwice(options.instanceAddress) && life === undefined;
        if (isAddressVacant) {
          logger.info({ address: options.instanceAddress }, 'no instance listens on this host');
          notify();
        }
        return;
      }
      if (life.state === 'down') return;
      if (isSilent(life) || life.state === 'draining') await confirmEnd(life);
    },
  };
};
