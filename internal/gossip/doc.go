// Package gossip implements the internal protocol between gateways. Each VM sends
// the others small CBOR datagrams over UDP with the tokens that it has charged to
// teams, its calls in progress on backend servers, failures of backend servers,
// the prompt parts that engines have in their KV caches, and the versions of the
// weights that engines run. Datagrams may be lost: nothing that must be durable
// depends on them, and later ones make up for a lost one.
//
// A VM also serves its copies of the store's tables to the other VMs over HTTP;
// see Relay.
package gossip
