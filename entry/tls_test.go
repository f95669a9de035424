package entry

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/config"
)

// writeCertificate writes a self-signed certificate with its key and returns the paths of the files.
func writeCertificate(t *testing.T, folder string, serial int64, modified time.Time) config.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "entry"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := config.TLS{
		Certificate: filepath.Join(folder, "entry.pem"),
		Key:         filepath.Join(folder, "entry.key"),
		Authority:   filepath.Join(folder, "entry.pem"),
	}
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	require.NoError(t, os.Chtimes(files.Certificate, modified, modified))
	return files
}

func writePEM(t *testing.T, file, kind string, body []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600))
}

// servedSerial returns the serial number of the certificate at an address.
func servedSerial(t *testing.T, address netip.AddrPort) int64 {
	connection, err := tls.Dial("tcp", address.String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // Only the serial number is read.
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestCertificatesAreReloadedWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	var clock atomic.Int64
	clock.Store(time.Now().UnixNano())
	now := func() time.Time { return time.Unix(0, clock.Load()) }
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	server, err := New(Options{
		Config: config.Entry{
			VM: "East-01", Domain: "East", Caller: loopback, Peer: loopback, Operator: loopback,
			Platform:    netip.MustParseAddrPort("127.0.0.1:1"),
			FleetKeys:   [][]byte{bytes.Repeat([]byte{1}, 32)},
			OperatorKey: "a-long-operator-key",
			TLS:         writeCertificate(t, folder, 1, time.Unix(1000, 0)),
		},
		Now: now,
	})
	require.NoError(t, err)
	require.NoError(t, server.Start(context.Background()))
	t.Cleanup(server.Kill)
	require.EqualValues(t, 1, servedSerial(t, server.CallerAddress))

	writeCertificate(t, folder, 2, time.Unix(2000, 0))
	clock.Add(int64(time.Minute))
	require.EqualValues(t, 2, servedSerial(t, server.CallerAddress))

	_, err = tls.Dial("tcp", server.PeerAddress.String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The handshake must fail for want of a client certificate.
	if err == nil {
		connection, dialErr := tls.Dial("tcp", server.PeerAddress.String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // As above.
		require.NoError(t, dialErr)
		_, err = connection.Read(make([]byte, 1))
	}
	require.Error(t, err, "a peer without a certificate of the authority must be refused")
}
