import { createSystemClock } from '../clock/mod.ts';
import { startPlatformStore } from '../standins/platform_store.ts';

/**
 * The project's stand-in for the platform's store as a process of its own. It prints its address,
 * and stores each contract that arrives as a message from its parent, as the operator does.
 */
const main = async () => {
  const { address, store } = await startPlatformStore(createSystemClock());
  process.on('message', (contract) => {
    const publish = async () => {
      const stored = await store.get('op/config');
      const revision = stored.isOk() ? stored.value?.revision ?? 0 : 0;
      await store.transact({
        expect: [{ key: 'op/config', revision }],
        puts: [{ key: 'op/config', value: JSON.stringify(contract) }],
      });
    };
    publish().then(() => process.send?.('stored'), () => process.send?.('failed'));
  });
  process.once('disconnect', () => process.exit(0));
  process.send?.(address);
};

main().catch((error: unknown) => {
  process.stderr.write(`store: ${String(error)}\n`);
  process.exit(1);
});
