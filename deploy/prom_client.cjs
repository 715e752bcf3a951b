// The part of prom-client that a node uses, without gateways, clusters and default metrics.
const Counter = require('prom-client/lib/counter');
const Gauge = require('prom-client/lib/gauge');
const Histogram = require('prom-client/lib/histogram');
const Registry = require('prom-client/lib/registry');

module.exports = {
  Counter, Gauge, Histogram, Registry,
};
