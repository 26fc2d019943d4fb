package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// pinnedValidity is the validity of a Pinned certificate. Peers do not check its
// dates, because the wall clock may step.
const pinnedValidity = 10 * 365 * 24 * time.Hour

// A Pinned is an Identity with a self-signed certificate that the VM creates when
// it starts. Peers compare its digest with the one in the platform's list of VMs.
type Pinned struct {
	config       *tls.Config
	digest       string
	lookupDigest func(vm ident.VMID) (digest string, ok bool)
	unlisted     Unlisted
}

// An Unlisted is called for a certificate that names a VM that is or was listed but is not the
// listed one: the VM has restarted since the list was read, or something else uses its name. If
// the VM was dialled at its listed address, it returns whether to accept the certificate. It may
// be called from several goroutines and must not block.
type Unlisted func(vm ident.VMID, dialled bool) bool

// NewPinned returns the identity of a VM with a new key and certificate.
// lookupDigest returns the listed digest of another VM's certificate; it may be
// called from several goroutines. Without unlisted, other certificates are refused.
func NewPinned(vm ident.VMID, lookupDigest func(ident.VMID) (string, bool), unlisted Unlisted) (*Pinned, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	template, err := newTemplate(string(vm), pinnedValidity)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	template.DNSNames = []string{string(vm)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	p := &Pinned{digest: certificateDigest(der), lookupDigest: lookupDigest, unlisted: unlisted}
	p.config = &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		// The digest in the platform's list replaces the verification of a
		// certificate chain.
		InsecureSkipVerify:    true, //nolint:gosec // VerifyPeerCertificate checks the digest.
		VerifyPeerCertificate: p.verify(""),
	}
	return p, nil
}

// Digest returns the hexadecimal SHA-256 digest of the VM's certificate.
func (p *Pinned) Digest() string { return p.digest }

// certificateDigest returns the hexadecimal SHA-256 digest of a DER certificate.
func certificateDigest(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// verify returns a function for tls.Config.VerifyPeerCertificate. It accepts a
// certificate whose digest is listed for the one VM that it names. When expected
// is not empty, the certificate must name that VM, which was dialled.
func (p *Pinned) verify(expected ident.VMID) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return &Error{"verify", Refused, fmt.Errorf("the peer sent no certificate")}
		}
		certificate, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return &Error{"verify", Refused, err}
		}
		if len(certificate.DNSNames) != 1 {
			return &Error{"verify", Refused, fmt.Errorf("the certificate contains %d VM names, expected 1", len(certificate.DNSNames))}
		}
		name := ident.VMID(certificate.DNSNames[0])
		listed, ok := p.lookupDigest(name)
		if ok && (expected == "" || name == expected) {
			if listed == certificateDigest(raw[0]) {
				return nil
			}
			if p.unlisted != nil && p.unlisted(name, expected != "") && expected != "" {
				return nil
			}
		}
		return &Error{"verify", Refused, fmt.Errorf("the certificate of VM %q has an unlisted digest or an unexpected name", name)}
	}
}

func (p *Pinned) validate() error { return nil }

func (p *Pinned) serverConfig() *tls.Config { return p.config }

//nolint:unparam // The Identity interface requires the error; Keys returns one when its files cannot be loaded.
func (p *Pinned) clientConfig(vm string) (*tls.Config, error) {
	c := p.config.Clone()
	c.ServerName = vm
	c.VerifyPeerCertificate = p.verify(ident.VMID(vm))
	return c, nil
}
