// Package secure opens TLS listeners whose certificates can be replaced without
// a restart.
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

// certRecheckInterval is the minimum time between two checks of the certificate
// file for changes.
const certRecheckInterval = 10 * time.Second

// Listen opens a TCP listener, with TLS if the settings name a certificate.
func Listen(address string, s settings.TLS) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || s.CertFile == "" {
		return listener, errors.Trace(err)
	}
	keys := &reloadingKeyPair{settings: s}
	if err := keys.load(); err != nil {
		_ = listener.Close()
		return nil, errors.Trace(err)
	}
	return tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: keys.get}), nil
}

// reloadingKeyPair is a certificate that is reloaded when its file changes.
type reloadingKeyPair struct {
	settings settings.TLS

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

func (k *reloadingKeyPair) load() error {
	info, err := os.Stat(k.settings.CertFile)
	if err != nil {
		return errors.Trace(err)
	}
	pair, err := tls.LoadX509KeyPair(k.settings.CertFile, k.settings.KeyFile)
	if err != nil {
		return errors.Trace(err)
	}
	k.current, k.modTime = &pair, info.ModTime()
	return nil
}

func (k *reloadingKeyPair) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.lastCheck) < certRecheckInterval {
		return k.current, nil
	}
	k.lastCheck = now
	info, err := os.Stat(k.settings.CertFile)
	if err == nil && !info.ModTime().Equal(k.modTime) {
		// Loading fails while the pair is only partly written; the old pair
		// then stays in use.
		_ = k.load()
	}
	return k.current, nil
}
