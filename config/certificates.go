package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reloadInterval is how often the certificate files are looked at.
const reloadInterval = time.Second

// Certificates serves a certificate from files and reads them again when they change.
type Certificates struct {
	files TLS
	now   func() time.Time

	mu         sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	current    *tls.Certificate
	authority  *x509.CertPool
}

// LoadCertificates reads the files and fails where one is unusable.
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

// get returns the newest usable certificate; unusable new files leave the old one in place.
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

// ServerConfig returns the settings of a TLS listener; with mutual set it admits only VMs of the same authority.
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

// ClientConfig returns the settings with which a VM calls its peers.
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
