// Package config reads the settings file of one entry VM: its identity, its
// addresses and its availability zone. Settings that apply to the whole deployment are in the
// settings tree instead.
package config

import (
	"bytes"
	"encoding/json"
	"net"
	"net/url"
	"os"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// Config is the settings file of one entry VM in JSON with comments.
type Config struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	// APIAddr is the host and port for callers, operators, health checks and metrics.
	APIAddr string `json:"api_addr"`
	// PeerAddr is the host and port for other entry VMs.
	PeerAddr string `json:"peer_addr"`
	// PeerAdvertise is the address that other entry VMs use to reach this one; default
	// PeerAddr.
	PeerAdvertise string   `json:"peer_advertise,omitempty"`
	PlatformAddrs []string `json:"platform_addrs"`
	// Seeds are peer addresses of other entry VMs, which this VM contacts to join.
	Seeds []string `json:"seeds,omitempty"`
	Log   Log      `json:"log,omitzero"`
	Trace Trace    `json:"trace,omitzero"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; default "info".
	Level string `json:"level,omitempty"`
	// Format is "json" or "console"; default "json".
	Format string `json:"format,omitempty"`
}

// Trace configures tracing.
type Trace struct {
	// Sample is the fraction, 0 to 1, of the traces started by this process that it records.
	Sample float64 `json:"sample,omitempty"`
	// File is the file to which spans are written as JSON; if empty, none are recorded.
	File string `json:"file,omitempty"`
}

// Load reads and checks a settings file. Errors have a code of package codes and name the
// invalid field.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, codes.SettingsSyntax.Errorf("read %s: %w", path, err)
	}
	return Parse(raw)
}

// Parse decodes and checks the text of a settings file.
func Parse(raw []byte) (*Config, error) {
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, codes.SettingsSyntax.Errorf("%w", err)
	}
	cfg := &Config{Log: Log{Level: "info", Format: "json"}}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return nil, codes.SettingsSyntax.Errorf("%w", err)
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.PeerAdvertise == "" {
		cfg.PeerAdvertise = cfg.PeerAddr
	}
	return cfg, nil
}

func (c *Config) check() error {
	if c.ID == "" {
		return codes.SettingsInvalid.Errorf("id: value is missing")
	}
	if c.AvailabilityZone == "" {
		return codes.SettingsInvalid.Errorf("availability_zone: value is missing")
	}
	if err := checkAddr("api_addr", c.APIAddr); err != nil {
		return err
	}
	if err := checkAddr("peer_addr", c.PeerAddr); err != nil {
		return err
	}
	if c.PeerAdvertise != "" {
		if err := checkAddr("peer_advertise", c.PeerAdvertise); err != nil {
			return err
		}
	}
	if len(c.PlatformAddrs) == 0 {
		return codes.SettingsInvalid.Errorf("platform_addrs: list is empty")
	}
	for i, addr := range c.PlatformAddrs {
		u, err := url.Parse(addr)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return codes.SettingsInvalid.Errorf("platform_addrs[%d]: %q is not an http or https URL", i, addr)
		}
	}
	for _, seed := range c.Seeds {
		if err := checkAddr("seeds", seed); err != nil {
			return err
		}
	}
	switch c.Log.Format {
	case "json", "console":
	default:
		return codes.SettingsInvalid.Errorf("log.format: %q is neither json nor console", c.Log.Format)
	}
	if c.Trace.Sample < 0 || c.Trace.Sample > 1 {
		return codes.SettingsInvalid.Errorf("trace.sample: %v is not between 0 and 1", c.Trace.Sample)
	}
	return nil
}

// checkAddr accepts only an IP address with a port. Host names are refused because processes
// get addresses only from their settings, not from name resolution.
func checkAddr(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return codes.SettingsInvalid.Errorf("%s: %q is not a host and port: %w", field, addr, err)
	}
	if net.ParseIP(host) == nil {
		return codes.SettingsInvalid.Errorf("%s: host of %q is not an IP address", field, addr)
	}
	if port == "" {
		return codes.SettingsInvalid.Errorf("%s: %q has no port", field, addr)
	}
	return nil
}
