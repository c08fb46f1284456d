// Package gossip implements the internal protocol between gateways. Each VM sends
// the others small CBOR datagrams with the tokens that it charged to teams, its
// calls in progress on backend servers, the parts of prompts that engines have
// cached, and the versions of the weights that engines run. Nothing that must be
// durable depends on it; the next datagram makes up for a lost one.
package gossip
