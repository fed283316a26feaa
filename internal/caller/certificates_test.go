package caller_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/caller"
)

// writeCertificate writes a self-signed certificate with a serial number.
func writeCertificate(t *testing.T, dir string, serial int64) (certificate, key string) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	certificate, key = filepath.Join(dir, "tls.crt"), filepath.Join(dir, "tls.key")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certificate, key
}

// TestTLS checks that callers sign in over TLS, that a renewed certificate is
// used without a restart, and that a broken one is not.
func TestTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certificate, key := writeCertificate(t, dir, 1)
	log := logrus.New()
	warned := make(writes, 1)
	log.SetOutput(warned)
	certificates, err := caller.NewCertificates(caller.CertificatesConfig{
		Certificate: certificate, Key: key, ReloadEvery: time.Millisecond, Log: log,
	})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- certificates.Run(ctx) }()
	address := serve(t, caller.Config{Executor: &fakeExecutor{answer: answerAll}, Certificates: certificates})
	is.Equal(serialOf(t, address), int64(1))
	is.NoErr(os.WriteFile(key, []byte("broken"), 0o600))
	<-warned
	is.Equal(serialOf(t, address), int64(1))
	writeCertificate(t, dir, 2)
	for serialOf(t, address) != 2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	is.NoErr(<-done)
}

// writes signals each write.
type writes chan struct{}

func (w writes) Write(p []byte) (int, error) {
	select {
	case w <- struct{}{}:
	default:
	}
	return len(p), nil
}

// serialOf runs a statement over TLS and returns the serial number of the
// server's certificate.
func serialOf(t *testing.T, address string) int64 {
	t.Helper()
	is := is.New(t)
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk@%s/%s?sslmode=require", address, ledger))
	is.NoErr(err)
	c, err := pgx.ConnectConfig(t.Context(), config)
	is.NoErr(err)
	defer func() { _ = c.Close(context.Background()) }()
	_, err = c.PgConn().Exec(t.Context(), "SELECT 1").ReadAll()
	is.NoErr(err)
	return c.PgConn().Conn().(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
