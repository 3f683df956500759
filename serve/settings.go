package serve

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/roster"
)

// Settings are the operator's settings for one VM.
type Settings struct {
	// ID is the VM's name, which must be unique.
	ID string
	// Zone is the VM's availability zone.
	Zone string
	// Listen is the address for callers, Peer the one for other VMs, and Admin the one for
	// operators. If Admin is empty, the VM does not listen for operators.
	Listen string
	Peer   string
	Admin  string
	// Store is the URL of the platform's store, such as http://10.0.0.9:80.
	Store string
	// GroupControl is the name of the group-control adapter.
	GroupControl string
	// TokenKeys are the keys of session tokens: the first one signs, all of them verify.
	TokenKeys []string
	// PeerKey is the secret that VMs authenticate each other with.
	PeerKey string
	// Users are the passwords of callers by name. If it is empty, callers are not
	// authenticated.
	Users map[string]string
	// UpstreamUser and UpstreamPassword are the credentials for the slots.
	UpstreamUser     string
	UpstreamPassword string
	// CertFile and CertKeyFile, if set, enable TLS for callers.
	CertFile    string
	CertKeyFile string
	// Seeds are VMs through which this VM joins the membership, in addition to those of
	// the platform's list of VMs.
	Seeds []roster.VM

	// MaxCallers bounds the callers' connections.
	MaxCallers int
	// MaxMessageBytes bounds the body of a caller's message, in bytes.
	MaxMessageBytes int
	// StartupTimeout bounds the start of a caller's session.
	StartupTimeout time.Duration
	// PollInterval is the time between polls of a group's slots by its owner.
	PollInterval time.Duration
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
}

// MinKeyBytes is the minimum length of a key, in bytes.
const MinKeyBytes = 16

// SettingsErrors are the errors in settings.
type SettingsErrors []string

// Error returns one error per line.
func (settingsErrors SettingsErrors) Error() string { return strings.Join(settingsErrors, "\n") }

func (settingsErrors *SettingsErrors) add(format string, args ...any) {
	*settingsErrors = append(*settingsErrors, fmt.Sprintf(format, args...))
}

// checkAddress adds an error unless address is an IP address with a port.
func (settingsErrors *SettingsErrors) checkAddress(name, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		settingsErrors.add("%s: %q is not an IP address with a port", name, address)
	}
}

// Validate returns all errors in the settings as SettingsErrors, or nil.
func (settings Settings) Validate() error {
	var settingsErrors SettingsErrors
	if settings.ID == "" {
		settingsErrors.add("id: is empty")
	}
	if settings.Zone == "" {
		settingsErrors.add("zone: is empty")
	}
	settingsErrors.checkAddress("listen", settings.Listen)
	settingsErrors.checkAddress("peer", settings.Peer)
	if settings.Admin != "" {
		settingsErrors.checkAddress("admin", settings.Admin)
	}
	if scheme, _, ok := strings.Cut(settings.Store, "://"); !ok || scheme == "" {
		settingsErrors.add("store: %q is not a URL", settings.Store)
	}
	if len(settings.TokenKeys) == 0 {
		settingsErrors.add("token-key: is missing")
	}
	for i, key := range settings.TokenKeys {
		if len(key) < MinKeyBytes {
			settingsErrors.add("token-key: number %d has fewer than %d bytes", i+1, MinKeyBytes)
		}
	}
	if len(settings.PeerKey) < MinKeyBytes {
		settingsErrors.add("peer-key: has fewer than %d bytes", MinKeyBytes)
	}
	if (settings.CertFile == "") != (settings.CertKeyFile == "") {
		settingsErrors.add("cert, cert-key: set both or neither")
	}
	if settings.MaxCallers < 1 {
		settingsErrors.add("max-callers: is %d, want at least 1", settings.MaxCallers)
	}
	if settings.MaxMessageBytes < minMaxMessageBytes {
		settingsErrors.add("max-message: is %d, want at least %d bytes", settings.MaxMessageBytes, minMaxMessageBytes)
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
			settingsErrors.add("%s: is %s, want more than zero", duration.name, duration.value)
		}
	}
	if len(settingsErrors) > 0 {
		return settingsErrors
	}
	return nil
}

// minMaxMessageBytes is the least permitted MaxMessageBytes.
const minMaxMessageBytes = 1 << 10

// tlsConfig loads the certificate for callers, or returns nil if none is set.
func (settings Settings) tlsConfig() (*tls.Config, error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertFile, settings.CertKeyFile)
	if err != nil {
		return nil, SettingsErrors{"cert, cert-key: " + err.Error()}
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}
