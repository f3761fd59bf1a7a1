package host

import (
	"net"
	"time"

	"onyxgate/internal/units"
)

// Config is the table [sources] of the settings.
type Config struct {
	StateFile string       `toml:"state" comment:"state file, read by 'onyxgate sources show' and after a restart; empty: none"`
	DNS       DNSConfig    `toml:"dns"`
	Subset    SubsetConfig `toml:"subset"`
}

// SubsetConfig is the table [sources.subset].
type SubsetConfig struct {
	Size        int `toml:"size" comment:"number of backends that this instance uses; 0: all"`
	MinPerGroup int `toml:"least" comment:"minimum number of backends of each release in each zone, regardless of size"`
}

// DNSConfig is the table [sources.dns].
type DNSConfig struct {
	Name                string     `toml:"name" comment:"SRV name of the service, such as _render._tcp.fleet.example.org; empty: no look-ups"`
	Servers             []string   `toml:"servers" comment:"name servers, host:port; the one with the fewest recent failures is queried"`
	Timeout             units.Span `toml:"wait" comment:"timeout of a query over UDP; twice as long over TCP"`
	MaxLookupsPerSecond float64    `toml:"lookups_a_second" comment:"maximum number of look-ups per second, regardless of TTLs"`
}

// Limits of the values in [sources.dns].
const (
	minTimeoutMs                             = 10
	minLookupsPerSecond, maxLookupsPerSecond = 0.01, 100
)

// DefaultConfig returns the configuration without settings: discovery only.
func DefaultConfig() Config {
	return Config{
		DNS:    DNSConfig{Servers: []string{}, Timeout: units.Span(500 * time.Millisecond), MaxLookupsPerSecond: 2},
		Subset: SubsetConfig{MinPerGroup: 3},
	}
}

// Enabled reports whether any feature beyond plain discovery is configured.
func (c Config) Enabled() bool { return c.DNS.Name != "" || c.Subset.Size > 0 }

// Validate reports each invalid value with its key, the problem and a valid example. It checks nothing if no feature is
// on, and the values of [sources.dns] only if a name is set.
func (c Config) Validate(report func(key string, value any, problem, example string)) {
	if !c.Enabled() {
		return
	}
	negative := c.Subset.Size < 0 || c.Subset.MinPerGroup < 0
	if negative || c.Subset.Size > 0 && c.Subset.Size < c.Subset.MinPerGroup {
		report("sources.subset.size", c.Subset.Size, "negative, or less than sources.subset.least", "50")
	}
	if c.DNS.Name != "" {
		c.DNS.validate(report)
	}
}

func (c DNSConfig) validate(report func(key string, value any, problem, example string)) {
	if len(c.Servers) == 0 {
		report("sources.dns.servers", c.Servers, "needed by a name", `["10.0.0.53:53"]`)
	}
	for _, server := range c.Servers {
		if _, _, err := net.SplitHostPort(server); err != nil {
			report("sources.dns.servers", server, err.Error(), `["10.0.0.53:53"]`)
		}
	}
	if c.Timeout.Ms() < minTimeoutMs {
		report("sources.dns.wait", c.Timeout, "shorter than 10ms, too short for any answer", `"500ms"`)
	}
	if c.MaxLookupsPerSecond < minLookupsPerSecond || c.MaxLookupsPerSecond > maxLookupsPerSecond {
		report("sources.dns.lookups_a_second", c.MaxLookupsPerSecond, "not between 0.01 and 100", "2.0")
	}
}
