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

// pinnedLife is the life of a certificate that is made at a VM's start. Its dates
// are not checked: the time of day may step.
const pinnedLife = 10 * 365 * 24 * time.Hour

// A Pinned identity is a certificate that a VM makes for itself at its start. The
// others know its digest from the platform's list of VMs.
type Pinned struct {
	config *tls.Config
	digest string
	known  func(vm ident.VMID) (digest string, ok bool)
}

// NewPinned returns the identity of a VM. Known tells the digest of another VM's
// certificate; it may be called from several goroutines.
func NewPinned(vm ident.VMID, known func(ident.VMID) (string, bool)) (*Pinned, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	template, err := newTemplate(string(vm), pinnedLife)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	template.DNSNames = []string{string(vm)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &Error{"pinned", BadKeys, err}
	}
	p := &Pinned{digest: digestOf(der), known: known}
	p.config = &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		// The digest that the platform's list holds takes the place of a chain.
		InsecureSkipVerify:    true, //nolint:gosec // VerifyPeerCertificate checks the digest.
		VerifyPeerCertificate: p.verify(""),
	}
	return p, nil
}

// Digest returns the digest of the VM's certificate.
func (p *Pinned) Digest() string { return p.digest }

func digestOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// verify returns a check that a certificate is the listed one of the VM that it
// names, and of want if that is given.
func (p *Pinned) verify(want ident.VMID) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return &Error{"verify", Refused, fmt.Errorf("the peer sent no certificate")}
		}
		certificate, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return &Error{"verify", Refused, err}
		}
		if len(certificate.DNSNames) != 1 {
			return &Error{"verify", Refused, fmt.Errorf("the certificate names %d VMs", len(certificate.DNSNames))}
		}
		name := ident.VMID(certificate.DNSNames[0])
		listed, ok := p.known(name)
		if !ok || listed != digestOf(raw[0]) || (want != "" && name != want) {
			return &Error{"verify", Refused, fmt.Errorf("the certificate of VM %q is not the listed one", name)}
		}
		return nil
	}
}

func (p *Pinned) check() error { return nil }

func (p *Pinned) server() *tls.Config { return p.config }

//nolint:unparam // Keys fail here when their files do.
func (p *Pinned) client(vm string) (*tls.Config, error) {
	c := p.config.Clone()
	c.ServerName = vm
	c.VerifyPeerCertificate = p.verify(ident.VMID(vm))
	return c, nil
}
