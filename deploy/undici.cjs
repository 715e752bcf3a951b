// The part of undici that a node uses, without `fetch`, WebSocket, caches, cookies and mocks.
const { request } = require('undici/lib/api');
const buildConnector = require('undici/lib/core/connect');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Pool = require('undici/lib/dispatcher/pool');

Object.assign(Dispatcher.prototype, { request });

module.exports = {
  Agent, buildConnector, Client, Pool,
};
