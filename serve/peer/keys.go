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

// Keys holds the paths of a VM's certificate, of its private key and of the
// certificate of the authority that signs every VM's certificate. Changed files
// are reloaded without a restart.
type Keys struct {
	Certificate, Key, Authority string

	mu sync.Mutex
	// lastCheck is when the files were last checked for a change.
	lastCheck time.Time
	// loadedModTimes are the modification times of the files that current was
	// loaded from, in the order of fileModTimes.
	loadedModTimes [3]time.Time
	current        *tls.Config
}

// recheckInterval is the minimum time between two checks of the files for a
// change.
const recheckInterval = time.Second

// config returns the TLS configuration of the current files. When changed files
// cannot be loaded, it returns the previous configuration.
func (k *Keys) config() (*tls.Config, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && time.Since(k.lastCheck) < recheckInterval {
		return k.current, nil
	}
	k.lastCheck = time.Now()
	modTimes := k.fileModTimes()
	if k.current != nil && modTimes == k.loadedModTimes {
		return k.current, nil
	}
	loaded, err := k.load()
	if err != nil {
		if k.current != nil {
			return k.current, nil
		}
		return nil, err
	}
	k.current, k.loadedModTimes = loaded, modTimes
	return loaded, nil
}

// validate returns an error when the files cannot be loaded.
func (k *Keys) validate() error {
	_, err := k.config()
	return err
}

// fileModTimes returns the modification times of the certificate, the key and
// the authority's certificate; the zero time for a file that cannot be read.
func (k *Keys) fileModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{k.Certificate, k.Key, k.Authority} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads the files and returns a configuration that requires a certificate
// of the authority from both client and server.
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
		return nil, &Error{"keys", BadKeys, errors.New(k.Authority + " contains no certificate")}
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

// serverConfig returns a configuration that calls config for each connection,
// so that new connections use changed files.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.config()
		},
	}
}

// clientConfig returns a configuration that requires the VM's name in the
// server's certificate.
func (k *Keys) clientConfig(vm string) (*tls.Config, error) {
	c, err := k.config()
	if err != nil {
		return nil, err
	}
	c = c.Clone()
	c.ServerName = vm
	return c, nil
}

// peerName returns the VM's name from the verified certificate of the peer: the
// first DNS name.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", fmt.Errorf("the certificate names no VM")
	}
	return state.PeerCertificates[0].DNSNames[0], nil
}
