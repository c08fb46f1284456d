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

// serverName is the name in every router's certificate; which VM is behind
// an address is the platform's list's word.
const serverName = "router.marjoramrock"

// certificateLife is how long issued certificates are valid.
const certificateLife = 365 * 24 * time.Hour

var errAuthority = errors.New("peer: no authority certificate in the file")

// CertFiles name a process's certificate, its key, and the authority's
// certificate, each in PEM.
type CertFiles struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// KeyPair is a certificate and its private key in PEM.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority issues certificates for routers.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair KeyPair
}

// NewAuthority makes a new authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("peer: authority key: %w", err)
	}
	template := certificate(1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, cert, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// Cert returns the authority's certificate in PEM.
func (a *Authority) Cert() []byte { return a.pair.Cert }

// Issue makes a router's certificate.
func (a *Authority) Issue() (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("peer: key: %w", err)
	}
	template := certificate(time.Now().UnixNano())
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	pair, _, err := sign(template, a.cert, key, a.key)
	return pair, err
}

func certificate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "marjoramrock"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLife),
	}
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (KeyPair, *x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, nil, fmt.Errorf("peer: sign: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return KeyPair{}, nil, fmt.Errorf("peer: sign: %w", err)
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

// NewTLS returns the mutual TLS configuration of a router.
func NewTLS(pair KeyPair, authority []byte) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("peer: certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errAuthority
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

// LoadTLS reads the files and returns the mutual TLS configuration.
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
