package serve

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/roster"
)

// Settings are what an operator sets for one VM.
type Settings struct {
	// ID names the VM; it must differ between VMs.
	ID   string
	Zone string
	// Listen is for callers, Peer for other VMs, Admin for operators only.
	Listen string
	Peer   string
	Admin  string
	// Store is the address of the platform's store, such as http://10.0.0.9:80.
	Store string
	// GroupControl is the kind of group control.
	GroupControl string
	// TokenKeys sign session tokens: the first signs, all verify.
	TokenKeys []string
	// PeerKey is known to all VMs and nobody else.
	PeerKey string
	// Users are the passwords of callers by name; empty trusts everyone.
	Users map[string]string
	// UpstreamUser and UpstreamPassword are for the slots.
	UpstreamUser     string
	UpstreamPassword string
	// CertFile and CertKeyFile turn on TLS for callers.
	CertFile    string
	CertKeyFile string
	// Seeds are peers to join through, besides the platform's list.
	Seeds []roster.VM

	MaxCallers     int
	MaxMessage     int
	StartupTimeout time.Duration
	PollInterval   time.Duration
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
}

// MinKeyBytes is the least length of a key.
const MinKeyBytes = 16

// Mistakes are all that is wrong with settings.
type Mistakes []string

// Error lists one mistake a line.
func (mistakes Mistakes) Error() string { return strings.Join(mistakes, "\n") }

func (mistakes *Mistakes) add(format string, args ...any) {
	*mistakes = append(*mistakes, fmt.Sprintf(format, args...))
}

func (mistakes *Mistakes) address(name, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		mistakes.add("%s: %q is not an IP address with a port", name, address)
	}
}

// Check returns every mistake at once, or nil.
func (settings Settings) Check() error {
	var mistakes Mistakes
	if settings.ID == "" {
		mistakes.add("id: is empty")
	}
	if settings.Zone == "" {
		mistakes.add("zone: is empty")
	}
	mistakes.address("listen", settings.Listen)
	mistakes.address("peer", settings.Peer)
	if settings.Admin != "" {
		mistakes.address("admin", settings.Admin)
	}
	if scheme, _, ok := strings.Cut(settings.Store, "://"); !ok || scheme == "" {
		mistakes.add("store: %q is not a URL", settings.Store)
	}
	if len(settings.TokenKeys) == 0 {
		mistakes.add("token-key: is missing")
	}
	for i, key := range settings.TokenKeys {
		if len(key) < MinKeyBytes {
			mistakes.add("token-key: number %d has fewer than %d bytes", i+1, MinKeyBytes)
		}
	}
	if len(settings.PeerKey) < MinKeyBytes {
		mistakes.add("peer-key: has fewer than %d bytes", MinKeyBytes)
	}
	if (settings.CertFile == "") != (settings.CertKeyFile == "") {
		mistakes.add("cert, cert-key: set both or neither")
	}
	if settings.MaxCallers < 1 {
		mistakes.add("max-callers: is %d, want at least 1", settings.MaxCallers)
	}
	if settings.MaxMessage < minMaxMessage {
		mistakes.add("max-message: is %d, want at least %d bytes", settings.MaxMessage, minMaxMessage)
	}
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"startup-timeout", settings.StartupTimeout},
		{"poll-interval", settings.PollInterval},
		{"drain-timeout", settings.DrainTimeout},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			mistakes.add("%s: is %s, want more than zero", duration.name, duration.value)
		}
	}
	if len(mistakes) > 0 {
		return mistakes
	}
	return nil
}

const minMaxMessage = 1 << 10

// tlsConfig loads the certificate, or returns nil without one.
func (settings Settings) tlsConfig() (*tls.Config, error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertFile, settings.CertKeyFile)
	if err != nil {
		return nil, Mistakes{"cert, cert-key: " + err.Error()}
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}
