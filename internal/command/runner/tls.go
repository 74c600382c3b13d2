package runner

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// loadTLSConfig loads the TLS configuration of a listener. It returns nil without a
// certificate. With an authority it requires a client certificate signed by the
// authority, and the configuration can also be used for dialling peers.
func loadTLSConfig(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "loading certificate %s", certFile)
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	if authorityFile != "" {
		pool, err := loadCertPool(authorityFile)
		if err != nil {
			return nil, err
		}
		config.ClientCAs, config.RootCAs, config.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	}
	return config, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, errors.Wrap(err, "loading certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s contains no certificate", file)
	}
	return pool, nil
}
