// Package secure opens listeners with TLS whose keys can be replaced without a
// restart.
package secure

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

// recheckPeriod is how often the certificate's file is looked at.
const recheckPeriod = 10 * time.Second

// Listen opens a TCP listener, with TLS if the settings name a certificate.
func Listen(address string, s settings.TLS) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || s.CertFile == "" {
		return listener, errors.Trace(err)
	}
	keys := &keyPair{settings: s}
	if err := keys.load(); err != nil {
		_ = listener.Close()
		return nil, errors.Trace(err)
	}
	return tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: keys.get}), nil
}

// keyPair is a certificate that is read again when its file changes.
type keyPair struct {
	settings settings.TLS

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time
	checked time.Time
}

func (k *keyPair) load() error {
	info, err := os.Stat(k.settings.CertFile)
	if err != nil {
		return errors.Trace(err)
	}
	pair, err := tls.LoadX509KeyPair(k.settings.CertFile, k.settings.KeyFile)
	if err != nil {
		return errors.Trace(err)
	}
	k.current, k.changed = &pair, info.ModTime()
	return nil
}

func (k *keyPair) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checked) < recheckPeriod {
		return k.current, nil
	}
	k.checked = now
	info, err := os.Stat(k.settings.CertFile)
	if err == nil && !info.ModTime().Equal(k.changed) {
		// A half-written pair does not load; the old one stays in use.
		_ = k.load()
	}
	return k.current, nil
}
