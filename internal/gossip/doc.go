// Package gossip is the inner protocol between routers that forward calls: each
// VM tells the others, in small CBOR datagrams, what it charged to teams, its
// calls on backend servers, which parts of prompts it sent where, and what it
// learnt of engines' weights. Nothing that must last depends on it; a lost
// datagram is made good by the next.
package gossip
