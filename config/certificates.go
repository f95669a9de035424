package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reloadInterval is the shortest time between two checks of the certificate file for changes.
const reloadInterval = time.Second

// Certificates holds a certificate and its authority, read from files, and reloads them when the certificate file changes.
type Certificates struct {
	files TLS
	now   func() time.Time

	mu         sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	current    *tls.Certificate
	authority  *x509.CertPool
}

// LoadCertificates reads the files; it returns an error if one of them is unusable.
func LoadCertificates(files TLS, now func() time.Time) (*Certificates, error) {
	c := &Certificates{files: files, now: now}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificates) reload() error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.WithHint(err, "check Tls.Certificate and Tls.Key in the VM's settings")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.WithHint(err, "check Tls.Authority in the VM's settings")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return errors.Newf("%s holds no PEM certificate", c.files.Authority)
	}
	c.current, c.authority = &certificate, authority
	return nil
}

// get returns the newest usable certificate and its authority; if new files are unusable, the old ones stay in use.
func (c *Certificates) get() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.checkedAt) >= reloadInterval {
		c.checkedAt = now
		info, err := os.Stat(c.files.Certificate)
		if err == nil && info.ModTime() != c.modifiedAt && c.reload() == nil {
			c.modifiedAt = info.ModTime()
		}
	}
	return c.current, c.authority
}

// ServerConfig returns the TLS configuration of a listener; if mutual is set, it admits only clients with a
// certificate of the same authority.
func (c *Certificates) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := c.get()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}}
			if mutual {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = authority
			}
			return config, nil
		},
	}
}

// ClientConfig returns the TLS configuration with which a VM calls its peers.
func (c *Certificates) ClientConfig() *tls.Config {
	_, authority := c.get()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.get()
			return certificate, nil
		},
	}
}
