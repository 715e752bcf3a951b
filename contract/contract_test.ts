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

const parseSample = (changes: object) => parseContract(JSON.stringify({ ...sample, ...changes }));

const contract: Contract = parseSample({})._unsafeUnwrap();

const invalidContracts: readonly (readonly [string, object, RegExp])[] = [
  ['an unknown field', { extra: 1 }, /extra/],
  ['a route to an undefined service', {
    services: [{ name: 'other', keyed: false }],
  }, /routes\.0\.service/],
  ['a keyed service without a slot count', {
    services: [{ name: 'ledger', keyed: true }],
  }, /services\.0\.slotCount/],
  ['a key parameter that is not in the path', {
    routes: [{ ...sample.routes[0], key: { from: 'path', name: 'missing' } }],
  }, /routes\.0\.key\.name/],
  ['a retried submission', {
    routes: [{ ...sample.routes[0], class: 'submission', retries: 1 }],
  }, /routes\.0\.retries/],
  ['a token in place of its hash', { tokenHashes: ['secret'] }, /tokenHashes\.0/],
];

for (const [name, changes, expected] of invalidContracts) {
  test(`a contract with ${name} is rejected with the name of the field`, () => {
    assert.match(parseSample(changes)._unsafeUnwrapErr().message, expected);
  });
}

test('the error for invalid JSON names the source', () => {
  assert.match(parseContract('{', 'file.json')._unsafeUnwrapErr().message, /file\.json/);
});

test('a request finds its customer by token and its route by host, path and method', () => {
  const compiled = compileContracts([contract]);
  assert.is(compiled.findContract('wrong'), undefined);
  const customer = compiled.findContract('secret');
  assert.is(customer?.customer, 'acme');
  const target = { host: 'Ledger.example:8080', path: '/entries/a%2Fb', method: 'GET' };
  const match = compiled.findRoute(contract, target);
  assert.is(match?.route.name, 'entry');
  assert.is(match?.parameters.get('entry'), 'a/b');
  assert.is(compiled.findRoute(contract, { ...target, method: 'POST' }), undefined);
  assert.is(compiled.findRoute(contract, { ...target, path: '/entries/a/b' }), undefined);
  assert.is(compiled.findRoute(contract, { ...target, path: '/entries/%zz' }), undefined);
});

test('services that contracts define differently are reported as conflicts', () => {
  const services = [{ name: 'ledger', keyed: true, slotCount: 32 }];
  const other = parseSample({ customer: 'zeta', services });
  const compiled = compileContracts([other._unsafeUnwrap(), contract]);
  assert.equal(compiled.conflicts, ['ledger']);
  assert.is(compiled.findService('ledger')?.slotCount, 64);
});

test('a difference has the field, its old value and its new value', () => {
  const after = { ...contract, limits: { requestsPerSecond: 50, concurrency: 10 } };
  assert.equal(diffContracts(contract, after), [
    { field: 'limits.requestsPerSecond', before: 100, after: 50 },
  ]);
  assert.equal(diffContracts(contract, contract), []);
});

test.run();
