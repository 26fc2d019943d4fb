package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Keys are the files of a VM's certificate and key and of the authority that
// signs every VM's certificate. Changed files are taken up without a restart.
type Keys struct {
	Certificate, Key, Authority string

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	loaded  *tls.Config
}

// recheckAfter is how often the files are looked at for a change.
const recheckAfter = time.Second

// config returns the TLS configuration of the current files. When new files
// cannot be used, the old ones stay in use.
func (k *Keys) config() (*tls.Config, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loaded != nil && time.Since(k.checked) < recheckAfter {
		return k.loaded, nil
	}
	k.checked = time.Now()
	stamps := k.modified()
	if k.loaded != nil && stamps == k.stamps {
		return k.loaded, nil
	}
	loaded, err := k.load()
	if err != nil {
		if k.loaded != nil {
			return k.loaded, nil
		}
		return nil, err
	}
	k.loaded, k.stamps = loaded, stamps
	return loaded, nil
}

func (k *Keys) check() error {
	_, err := k.config()
	return err
}

func (k *Keys) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, path := range []string{k.Certificate, k.Key, k.Authority} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (k *Keys) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, &Error{"keys", BadKeys, err}
	}
	authority, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, &Error{"keys", BadKeys, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &Error{"keys", BadKeys, errors.New(k.Authority + " holds no certificate")}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}, nil
}

// server returns a configuration that takes up changed files for each
// connection.
func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.config()
		},
	}
}

// client returns a configuration that expects the VM's name in the server's
// certificate.
func (k *Keys) client(vm string) (*tls.Config, error) {
	c, err := k.config()
	if err != nil {
		return nil, err
	}
	c = c.Clone()
	c.ServerName = vm
	return c, nil
}

// nameOf returns the VM's name that a verified certificate carries.
func nameOf(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", fmt.Errorf("the certificate names no VM")
	}
	return state.PeerCertificates[0].DNSNames[0], nil
}
