package postgres

// TLS configuration.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// tlsModes are the supported values of libpq's sslmode.
var tlsModes = map[string]bool{"disable": true, "require": true, "verify-ca": true, "verify-full": true}

// tlsConfig returns the TLS configuration for a mode, or nil for no TLS.
func tlsConfig(host, mode, caFile string) (*tls.Config, error) {
	if mode == "disable" {
		return nil, nil
	}
	config := &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12, InsecureSkipVerify: mode != "verify-full"}
	if caFile != "" {
		text, err := os.ReadFile(caFile)
		if err != nil {
			return nil, err
		}
		if config.RootCAs = x509.NewCertPool(); !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s contains no PEM certificate", caFile)
		}
	}
	if mode == "verify-ca" {
		config.VerifyConnection = verifyChain(config.RootCAs)
	}
	return config, nil
}

// verifyChain returns a function that verifies the server's certificate chain but not its host name.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
		return err
	}
}
