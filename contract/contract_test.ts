import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  compileContracts, type Contract, diffContracts, parseContract,
} from './mod.ts';

const hashOf = (token: string) => createHash('sha256').update(token).digest('hex');

const sample = {
  customer: 'acme',
  tokenHashes: [hashOf('secret')],
  share: 1,
  limits: { requestsPerSecond: 100, concurrency: 10 },
  services: [{ name: 'ledger', keyed: true, slotCount: 64 }],
  routes: [{
    name: 'entry',
    host: 'ledger.example',
    path: '/entries/:entry',
    methods: ['GET'],
    service: 'ledger',
    class: 'lookup',
    key: { from: 'path', name: 'entry' },
    deadlineMs: 500,
  }],
};

const parse = (changes: object) => parseContract(JSON.stringify({ ...sample, ...changes }));

const contract: Contract = parse({})._unsafeUnwrap();

const faults: readonly (readonly [string, object, RegExp])[] = [
  ['an unknown field', { extra: 1 }, /extra/],
  ['a service missing from the list', {
    services: [{ name: 'other', keyed: false }],
  }, /routes\.0\.service/],
  ['a keyed service without slots', {
    services: [{ name: 'ledger', keyed: true }],
  }, /services\.0\.slotCount/],
  ['a key that the path does not have', {
    routes: [{ ...sample.routes[0], key: { from: 'path', name: 'missing' } }],
  }, /routes\.0\.key\.name/],
  ['a retried submission', {
    routes: [{ ...sample.routes[0], class: 'submission', retries: 1 }],
  }, /routes\.0\.retries/],
  ['a token in place of its hash', { tokenHashes: ['secret'] }, /tokenHashes\.0/],
];

for (const [name, changes, expected] of faults) {
  test(`a contract with ${name} is refused and the field is named`, () => {
    assert.match(parse(changes)._unsafeUnwrapErr().message, expected);
  });
}

test('text that is not JSON is refused and the source is named', () => {
  assert.match(parseContract('{', 'file.json')._unsafeUnwrapErr().message, /file\.json/);
});

test('a request finds its customer by token and its route by host, path and method', () => {
  const compiled = compileContracts([contract]);
  assert.is(compiled.findCustomer('wrong'), undefined);
  const customer = compiled.findCustomer('secret');
  assert.is(customer?.customer, 'acme');
  const target = { host: 'Ledger.example:8080', path: '/entries/a%2Fb', method: 'GET' };
  const match = compiled.findRoute(contract, target);
  assert.is(match?.route.name, 'entry');
  assert.is(match?.parameters.get('entry'), 'a/b');
  assert.is(compiled.findRoute(contract, { ...target, method: 'POST' }), undefined);
  assert.is(compiled.findRoute(contract, { ...target, path: '/entries/a/b' }), undefined);
  assert.is(compiled.findRoute(contract, { ...target, path: '/entries/%zz' }), undefined);
});

test('contracts that define a service differently are reported', () => {
  const services = [{ name: 'ledger', keyed: true, slotCount: 32 }];
  const other = parse({ customer: 'zeta', services });
  const compiled = compileContracts([other._unsafeUnwrap(), contract]);
  assert.equal(compiled.conflicts, ['ledger']);
  assert.is(compiled.findService('ledger')?.slotCount, 64);
});

test('a difference names the field and both values', () => {
  const after = { ...contract, limits: { requestsPerSecond: 50, concurrency: 10 } };
  assert.equal(diffContracts(contract, after), [
    { field: 'limits.requestsPerSecond', before: 100, after: 50 },
  ]);
  assert.equal(diffContracts(contract, contract), []);
});

test.run();
