package demo_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"github.com/bramleydoor/bramleydoor/demo"
	"github.com/bramleydoor/bramleydoor/serve"
)

// writeCert creates a self-signed certificate and returns the paths of its files.
func writeCert(c *qt.C) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bramleydoor test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	certBytes, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	c.Assert(err, qt.IsNil)
	keyBytes, err := x509.MarshalECPrivateKey(private)
	c.Assert(err, qt.IsNil)
	write := func(name, kind string, bytes []byte) string {
		path := filepath.Join(c.TempDir(), name)
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes})
		c.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
		return path
	}
	return write("cert.pem", "CERTIFICATE", certBytes), write("key.pem", "EC PRIVATE KEY", keyBytes)
}

// Callers authenticate with a password. With a certificate the VM accepts TLS
// connections as well as unencrypted ones.
func TestLogin(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cert, key := writeCert(c)
	cluster := &demo.Cluster{
		Deployment: demo.Deployments["tiny"], Seed: 1,
		Tune: func(settings *serve.Settings) {
			settings.Users = map[string]string{"clerk": "s3cret pässword"}
			settings.CertFile, settings.CertKeyFile = cert, key
		},
	}
	c.Assert(cluster.Start(ctx), qt.IsNil)
	defer cluster.Kill()
	c.Assert(cluster.AwaitReady(ctx), qt.IsNil)
	tests := []struct {
		user, password, mode string
		wantError            string
	}{
		{"clerk", "s3cret pässword", "require", ""},
		{"clerk", "s3cret pässword", "disable", ""},
		{"clerk", "wrong", "require", ".*28P01.*"},
		{"nobody", "s3cret pässword", "disable", ".*28P01.*"},
	}
	for _, test := range tests {
		config, err := pgx.ParseConfig("postgres://" + cluster.VMs[0].Address() + "/ledger1.db1?sslmode=" + test.mode)
		c.Assert(err, qt.IsNil)
		config.User, config.Password = test.user, test.password
		conn, err := pgx.ConnectConfig(ctx, config)
		if test.wantError != "" {
			c.Check(err, qt.ErrorMatches, "(?s)"+test.wantError)
			continue
		}
		c.Assert(err, qt.IsNil)
		exec(ctx, c, conn, incrementQuery, "k")
		c.Check(conn.Close(ctx), qt.IsNil)
	}
}

// Validate reports all errors in the settings, not only the first one.
func TestSettingsValidateReportsAllErrors(t *testing.T) {
	err := serve.Settings{Listen: "localhost", Peer: "127.0.0.1:1", CertFile: "x", MaxCallers: 1, MaxMessageBytes: 1}.Validate()
	settingsErrors, _ := err.(serve.SettingsErrors)
	qt.Assert(t, settingsErrors, qt.HasLen, 11)
}
