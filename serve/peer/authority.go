package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// clockSkew is subtracted from a certificate's start of validity, for VMs
	// whose clocks are slow.
	clockSkew         = time.Hour
	authorityValidity = 10 * 365 * 24 * time.Hour
	// serialBits is the size of a random serial number.
	serialBits   = 120
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// An Authority is the certificate authority (CA) of a deployment. It signs the
// certificates of the deployment's VMs.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

// NewAuthority returns an Authority with a new key and a self-signed
// certificate. The key is kept in memory only.
func NewAuthority(deployment string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(deployment+" authority", authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate, key, der}, nil
}

// newTemplate returns a certificate template with a random serial number and
// the common name.
func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity),
	}, nil
}

// Issue creates a key and a signed certificate for a VM. It writes the
// certificate, the key and the authority's certificate into the folder as
// VM.crt, VM.key and authority.crt, and returns Keys with their paths.
func (a *Authority) Issue(folder, vm string, validity time.Duration) (*Keys, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(vm, validity)
	if err != nil {
		return nil, err
	}
	template.DNSNames = []string{vm}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	keys := &Keys{
		Certificate: filepath.Join(folder, vm+".crt"),
		Key:         filepath.Join(folder, vm+".key"),
		Authority:   filepath.Join(folder, "authority.crt"),
	}
	if err := writePEM(keys.Certificate, "CERTIFICATE", der, certFileMode); err != nil {
		return nil, err
	}
	if err := writePEM(keys.Key, "EC PRIVATE KEY", keyDER, keyFileMode); err != nil {
		return nil, err
	}
	return keys, writePEM(keys.Authority, "CERTIFICATE", a.der, certFileMode)
}

// writePEM writes one PEM block to a file.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), mode)
}
