// Package peer is the inner protocol between routers: one request and one
// reply on each QUIC stream, in CBOR, between processes that prove themselves
// with certificates of the same authority.
//
// A message that does not decode, or of another version, is refused and
// changes nothing.
package peer
