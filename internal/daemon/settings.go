// Package daemon builds the components of an entry VM and runs them together.
package daemon

import (
	"fmt"
	"os"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/jsonc"
	"github.com/chervilladder/chervilladder/internal/logs"
	"github.com/chervilladder/chervilladder/internal/operator"
	"github.com/chervilladder/chervilladder/internal/peer"
)

// Settings is the settings file of a VM: JSON with comments, with keys in kebab
// case.
type Settings struct {
	VM         chervilladder.VMID
	DataCentre chervilladder.DataCentreID
	// Callers is where the VM listens for callers.
	Callers chervilladder.Address
	// Peers is where the VM listens for its peers, on TCP and on UDP.
	Peers chervilladder.Address
	// Operators is where the VM listens for operators.
	Operators chervilladder.Address
	// Platform is where the platform's object API listens.
	Platform chervilladder.Address
	// Join lists peers to join the membership through while the platform is
	// unavailable.
	Join []chervilladder.Address
	// PeerKey authenticates the datagrams between VMs.
	PeerKey peer.Key
	// OperatorsToken authenticates operators who connect from other VMs.
	OperatorsToken operator.Token
	LogFormat      logs.Format
	LogLevel       string
	// DrainTimeout bounds the wait for work in flight when the VM stops.
	DrainTimeout time.Duration
	// StartTimeout bounds the start-up of a caller's connection, including its
	// authentication.
	StartTimeout time.Duration
	// IdleTransactionTimeout is how long an open transaction may be idle.
	IdleTransactionTimeout time.Duration
	// TLSCertificate and TLSKey are the paths of the PEM files for callers'
	// connections; without them TLS is declined.
	TLSCertificate, TLSKey string
}

// The keys of a settings file.
const (
	keyVM                     = "vm"
	keyDataCentre             = "data-centre"
	keyCallers                = "callers"
	keyPeers                  = "peers"
	keyOperators              = "operators"
	keyPlatform               = "platform"
	keyJoin                   = "join"
	keyPeerKey                = "peer-key"
	keyOperatorsToken         = "operators-token"
	keyLogFormat              = "log-format"
	keyLogLevel               = "log-level"
	keyDrainTimeout           = "drain-timeout"
	keyStartTimeout           = "start-timeout"
	keyIdleTransactionTimeout = "idle-transaction-timeout"
	keyTLSCertificate         = "tls-certificate"
	keyTLSKey                 = "tls-key"
)

// The limits and defaults of the settings.
const (
	minTimeout             = 100 * time.Millisecond
	maxTimeout             = 10 * time.Minute
	defaultDrainTimeout    = 15 * time.Second
	defaultStartTimeout    = 10 * time.Second
	defaultIdleTransaction = 10 * time.Second
	minSecretBytes         = 16
)

// ReadSettings reads and checks a settings file. Its error is a
// *jsonc.CheckError that lists every fault if the file could be read.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w; check the path", err)
	}
	return ParseSettings(path, text)
}

// ParseSettings checks the text of a settings file.
func ParseSettings(name string, text []byte) (Settings, error) {
	d := jsonc.New(name, text)
	o, ok := d.File(keyVM, keyDataCentre, keyCallers, keyPeers, keyOperators, keyPlatform, keyJoin, keyPeerKey,
		keyOperatorsToken, keyLogFormat, keyLogLevel, keyDrainTimeout, keyStartTimeout, keyIdleTransactionTimeout,
		keyTLSCertificate, keyTLSKey)
	if !ok {
		return Settings{}, d.Err()
	}
	s := Settings{
		VM:             chervilladder.VMID(o.Identifier(keyVM, jsonc.Required)),
		DataCentre:     chervilladder.DataCentreID(o.Identifier(keyDataCentre, jsonc.Required)),
		Callers:        o.Address(keyCallers, jsonc.Required),
		Peers:          o.Address(keyPeers, jsonc.Required),
		Operators:      o.Address(keyOperators, jsonc.Required),
		Platform:       o.Address(keyPlatform, jsonc.Required),
		Join:           o.Addresses(keyJoin, jsonc.Optional),
		PeerKey:        peer.Key(secret(o, keyPeerKey)),
		OperatorsToken: operator.Token(secret(o, keyOperatorsToken)),
		LogFormat:      logs.Format(o.Enum(keyLogFormat, string(logs.FormatText), string(logs.FormatJSON))),
		LogLevel:       o.Enum(keyLogLevel, "info", "error", "warn", "debug"),
	}
	s.DrainTimeout = o.Duration(keyDrainTimeout, minTimeout, maxTimeout, defaultDrainTimeout)
	s.StartTimeout = o.Duration(keyStartTimeout, minTimeout, maxTimeout, defaultStartTimeout)
	s.IdleTransactionTimeout = o.Duration(keyIdleTransactionTimeout, minTimeout, maxTimeout, defaultIdleTransaction)
	s.TLSCertificate = o.Text(keyTLSCertificate, jsonc.Optional)
	s.TLSKey = o.Text(keyTLSKey, jsonc.Optional)
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		o.Fault(keyTLSCertificate, " and the key are not both given", "give both files, or none")
	}
	s.checkDistinct(o)
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// secret returns an optional secret. It reports one that is short enough to be
// guessed as a fault.
func secret(o jsonc.Object, key string) string {
	s := o.Text(key, jsonc.Optional)
	if s != "" && len(s) < minSecretBytes {
		o.Fault(key, fmt.Sprintf(" has %d bytes", len(s)), fmt.Sprintf("give at least %d, drawn at random", minSecretBytes))
	}
	return s
}

// checkDistinct reports addresses that are used for two purposes as faults.
func (s Settings) checkDistinct(o jsonc.Object) {
	keyByAddress := make(map[chervilladder.Address]string)
	for _, use := range []struct {
		key     string
		address chervilladder.Address
	}{
		{keyCallers, s.Callers},
		{keyPeers, s.Peers},
		{keyOperators, s.Operators},
		{keyPlatform, s.Platform},
	} {
		if use.address == "" {
			continue
		}
		if firstKey, used := keyByAddress[use.address]; used {
			o.Fault(use.key, fmt.Sprintf(" is %s, as is %q", use.address, firstKey), "give each its own port")
		}
		keyByAddress[use.address] = use.key
	}
}
