package postgres

// This file owns which servers are trusted.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// tlsModes are the same words as libpq's.
var tlsModes = map[string]bool{"disable": true, "require": true, "verify-ca": true, "verify-full": true}

// tlsConfig is what a mode promises; nil: no TLS.
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
			return nil, fmt.Errorf("%s holds no certificate", caFile)
		}
	}
	if mode == "verify-ca" {
		config.VerifyConnection = verifyChain(config.RootCAs)
	}
	return config, nil
}

// verifyChain checks the server's chain of certificates, whatever the name in them.
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
