package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"
)

// serverName is the DNS name in every router's certificate. A certificate does not
// identify a VM: the platform's list says which VM is behind an address.
const serverName = "router.marjoramrock"

// certificateValidity is the validity period of issued certificates.
const certificateValidity = 365 * 24 * time.Hour

var errNoAuthority = errors.New("peer: no valid CA certificate in the PEM data")

// CertFiles names the PEM files that hold a process's certificate, its private key
// and the authority's certificate.
type CertFiles struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// KeyPair is a certificate and its private key, PEM encoded.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority that issues certificates for routers.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair KeyPair
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("peer: generate authority key: %w", err)
	}
	template := newTemplate(1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, cert, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// Cert returns the authority's certificate, PEM encoded.
func (a *Authority) Cert() []byte { return a.pair.Cert }

// Issue issues a certificate for a router, with a new key.
func (a *Authority) Issue() (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("peer: generate key: %w", err)
	}
	template := newTemplate(time.Now().UnixNano())
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	pair, _, err := sign(template, a.cert, key, a.key)
	return pair, err
}

func newTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "marjoramrock"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateValidity),
	}
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (KeyPair, *x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, nil, fmt.Errorf("peer: create certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return KeyPair{}, nil, fmt.Errorf("peer: parse certificate: %w", err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, nil, fmt.Errorf("peer: encode key: %w", err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}),
	}, cert, nil
}

// NewTLS returns the mutual TLS configuration of a router. Authority is the PEM
// encoded certificate of the authority.
func NewTLS(pair KeyPair, authority []byte) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("peer: load key pair: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errNoAuthority
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// LoadTLS returns the mutual TLS configuration from the given files.
func LoadTLS(f CertFiles) (*tls.Config, error) {
	var pair KeyPair
	var authority []byte
	for _, part := range []struct {
		name string
		into *[]byte
	}{{f.Cert, &pair.Cert}, {f.Key, &pair.Key}, {f.CA, &authority}} {
		raw, err := os.ReadFile(part.name)
		if err != nil {
			return nil, fmt.Errorf("peer: read certificates: %w", err)
		}
		*part.into = raw
	}
	return NewTLS(pair, authority)
}
