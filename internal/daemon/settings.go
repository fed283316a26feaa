// Package daemon builds the parts of an entry VM and runs them together.
package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/chervilladder/chervilladder"
)

// Settings is the settings file of a VM: JSON with comments, kebab case.
type Settings struct {
	VM         chervilladder.VMID         `json:"vm"`
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	// Callers is where the VM listens for callers.
	Callers chervilladder.Address `json:"callers"`
	// Peers is where the VM listens for its peers.
	Peers chervilladder.Address `json:"peers"`
	// TLS names the certificate for callers; without it TLS is declined.
	TLS *TLSSettings `json:"tls"`
	// Operators is where the VM listens for operators.
	Operators chervilladder.Address `json:"operators"`
	// Platform is where the platform's object API listens.
	Platform  chervilladder.Address `json:"platform"`
	LogFormat string                `json:"log-format"`
	LogLevel  string                `json:"log-level"`
}

// TLSSettings names PEM files, which are read again once they change.
type TLSSettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return s, fmt.Errorf("settings: %s: %w", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}
