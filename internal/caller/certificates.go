package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// defaultReloadEvery is how often certificate files are read again.
const defaultReloadEvery = 10 * time.Second

// CertificatesConfig configures Certificates.
type CertificatesConfig struct {
	// Certificate and Key are the paths of PEM files.
	Certificate string
	Key         string
	// ReloadEvery is how often the files are read again; zero means the
	// default.
	ReloadEvery time.Duration
	Log         *logrus.Logger
}

// Certificates holds the TLS certificate that callers are shown and reloads it
// from its files. A handshake uses the loaded one without reading a file.
type Certificates struct {
	config  CertificatesConfig
	current atomic.Pointer[tls.Certificate]
	tls     *tls.Config
}

// NewCertificates loads the certificate and returns an error if it can't.
func NewCertificates(c CertificatesConfig) (*Certificates, error) {
	if c.ReloadEvery == 0 {
		c.ReloadEvery = defaultReloadEvery
	}
	k := &Certificates{config: c}
	k.tls = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.get}
	return k, k.reload()
}

// Run reloads the certificate periodically until the context ends. If the
// files can't be loaded, the previous certificate stays in use.
func (k *Certificates) Run(ctx context.Context) error {
	ticks := time.NewTicker(k.config.ReloadEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			if err := k.reload(); err != nil {
				k.config.Log.WithError(err).Warn("caller: reloading the certificate failed; the previous one stays in use")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Certificates) reload() error {
	c, err := tls.LoadX509KeyPair(k.config.Certificate, k.config.Key)
	if err != nil {
		return fmt.Errorf("caller: load certificate: %w", err)
	}
	k.current.Store(&c)
	return nil
}

func (k *Certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return k.current.Load(), nil
}

// answerTLSRequest switches the connection to TLS if there is a certificate,
// and declines the request otherwise.
func (s *session) answerTLSRequest() error {
	_, secure := s.conn.(*tls.Conn)
	if secure || s.server.Certificates == nil {
		return s.decline()
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return errTerminated
	}
	c := tls.Server(s.conn, s.server.Certificates.tls)
	if err := c.Handshake(); err != nil {
		return errTerminated
	}
	s.conn, s.reader.conn = c, c
	return nil
}

func (s *session) decline() error {
	if _, err := s.conn.Write([]byte{'N'}); err != nil {
		return errTerminated
	}
	return nil
}
