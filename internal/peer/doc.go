// Package peer implements the internal protocol between routers: one CBOR request
// and one CBOR reply on each QUIC stream, with mutual TLS between processes whose
// certificates were issued by the same authority.
//
// A message that does not decode, or that has another protocol version, is
// rejected and has no effect.
package peer
