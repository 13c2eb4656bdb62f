// Package settings reads and checks the settings file of the daemon. What operators change
// while it runs is in the templates.
package settings

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Settings holds the contents of a settings file.
type Settings struct {
	Role          model.Role `toml:"role"`
	Instance      string     `toml:"instance"`
	FailureDomain string     `toml:"failure_domain"`
	Region        string     `toml:"region"`
	Listen        Listen     `toml:"listen"`
	Platform      Platform   `toml:"platform"`
	Entry         Entry      `toml:"entry"`
	Sidecar       Sidecar    `toml:"sidecar"`
	Router        Router     `toml:"router"`
	Links         []Link     `toml:"links"`
	Events        Events     `toml:"events"`
	Limits        Limits     `toml:"limits"`
}

// Listen holds the addresses that the daemon listens on, each as host:port.
type Listen struct {
	Link string `toml:"link"`
	HTTP string `toml:"http"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	KeyValue  string `toml:"key_value"`
	Instances string `toml:"instances"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// DrainDelay is the time after which the balancer sends no more callers to a draining
	// entry.
	DrainDelay Duration `toml:"drain_delay"`
	// KeepOutcomes is how long outcomes are retained after the deadline of a request.
	KeepOutcomes Duration `toml:"keep_outcomes"`
	// LedgerWrites is this entry's share of the write quota of the key-value service, in
	// writes per second.
	LedgerWrites float64 `toml:"ledger_writes"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Service string            `toml:"service"`
	Kind    model.ServiceKind `toml:"kind"`
	Backend string            `toml:"backend"`
	// Layers is the number of layers of the whole model.
	Layers   int `toml:"layers"`
	Capacity int `toml:"capacity"`
	Queue    int `toml:"queue"`
}

// Router holds the settings of a router. Its instance name and failure domain are in Settings.
type Router struct {
	// Callers, Ready, Peers and Metrics are the addresses to listen on for callers, for the
	// balancer's readiness checks, for other routers, and for collectors of metrics.
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`
	Peers   string `toml:"peers"`
	Metrics string `toml:"metrics"`
	// Seeds are the addresses of peers to contact while the store is unavailable.
	Seeds []string `toml:"seeds"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool `toml:"first_start"`
	// Grace is the maximum duration of a planned stop.
	Grace Duration `toml:"grace"`
	// ConfigApply is the maximum time until a configuration is in force.
	ConfigApply Duration `toml:"config_apply"`
	// RetryRatio, RetrySlack and RetryWindow define the retry budget that all routers share:
	// at most ratio x requests + slack retries per service in any window.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetrySlack  float64  `toml:"retry_slack"`
	RetryWindow Duration `toml:"retry_window"`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB float64 `toml:"memory_mb"`
	// MaxDescriptors is the number of files and sockets that the process may open; 0 means the limit
	// of the kernel.
	MaxDescriptors int `toml:"max_descriptors"`
	// LinkMbps is the bandwidth of this instance's link in Mbit/s; 0 means unknown.
	LinkMbps float64 `toml:"link_mbps"`
}

// Link holds the one-way time between two failure domains.
type Link struct {
	Between []string `toml:"between"`
	OneWay  Duration `toml:"one_way"`
	// Positions is the number of positions per second that the link carries between stages;
	// 0 means no limit.
	Positions float64 `toml:"positions"`
}

// Events holds the limit on the events kept for request timelines.
type Events struct {
	Keep int `toml:"keep"`
}

// Limits are those of the process of an entry or a sidecar. A router has its own in Router.
type Limits struct {
	// MemoryMB is the memory limit in MB; 0 means unknown.
	MemoryMB float64 `toml:"memory_mb"`
	// MaxDescriptors is the number of files and sockets that the process may open; 0 means the limit
	// of the kernel.
	MaxDescriptors int `toml:"max_descriptors"`
}

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// maxDuration is the maximum of a Duration. Sums of several such values don't overflow.
const maxDuration = 365 * 24 * time.Hour

// exponentDuration matches a number in exponent notation with a unit, which
// time.ParseDuration rejects.
var exponentDuration = regexp.MustCompile(`^([-+]?[0-9.]+[eE][-+]?[0-9]+)([a-zµ]+)$`)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := parseDuration(string(text))
	*d = Duration(min(max(v, -maxDuration), maxDuration))
	return err
}

func parseDuration(text string) (time.Duration, error) {
	parts := exponentDuration.FindStringSubmatch(text)
	if parts == nil {
		return time.ParseDuration(text)
	}
	unit, err := time.ParseDuration("1" + parts[2])
	if err != nil {
		return 0, err
	}
	// For a number out of range ParseFloat returns an infinity, which is limited below.
	number, err := strconv.ParseFloat(parts[1], 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, err
	}
	limit := float64(maxDuration)
	return time.Duration(min(max(number*float64(unit), -limit), limit)), nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Default returns the settings that apply where a file sets none.
func Default() Settings {
	return Settings{
		Entry: Entry{
			DrainDelay:   Duration(2 * time.Second),
			KeepOutcomes: Duration(5 * time.Minute),
			LedgerWrites: 50,
		},
		Sidecar: Sidecar{Kind: model.KindPipeline, Capacity: 16, Queue: 64},
		Events:  Events{Keep: 16384},
		Router: Router{
			Grace:       Duration(8 * time.Second),
			ConfigApply: Duration(2 * time.Second),
			RetryRatio:  0.2,
			RetryWindow: Duration(10 * time.Second),
		},
	}
}

// Load reads and checks a file. An error names the file, the key and the reason.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(raw)
	return s, errors.Wrap(err, path)
}

// Parse decodes and checks the contents of a file.
func Parse(raw []byte) (Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, FormatError(err)
	}
	return s, s.Validate()
}

// FormatError returns the error of a TOML decoder as one line with the key and the reason.
func FormatError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return errors.Errorf("%s: unknown key (line %d)", strings.Join(e.Key(), "."), row)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return errors.Errorf("%s: line %d column %d: %s", strings.Join(dec.Key(), "."), row, col, dec.Error())
	}
	return err
}

// check is the result of one check of a key.
type check struct {
	key    string
	ok     bool
	reason string
}

// Validate returns an error for the first invalid setting.
func (s *Settings) Validate() error {
	if s.Role == model.RoleRouter {
		return firstError(s.routerChecks())
	}
	checks := []check{
		{"role", s.Role == model.RoleEntry || s.Role == model.RoleSidecar, `must be "entry", "sidecar" or "router"`},
		{"instance", s.Instance != "", "must not be empty"},
		{"failure_domain", s.FailureDomain != "", "must not be empty"},
		{"region", s.Region != "", "must not be empty"},
		{"listen.link", isAddress(s.Listen.Link), "must be an IP number and a port, as 127.0.0.1:7401"},
		{"listen.http", isAddress(s.Listen.HTTP), "must be an IP number and a port, as 127.0.0.1:7400"},
		{"listen.http", s.Listen.HTTP != s.Listen.Link, "must differ from listen.link"},
		{"platform.key_value", isURL(s.Platform.KeyValue), "must be an http URL"},
		{"platform.instances", isURL(s.Platform.Instances), "must be an http URL"},
		{"events.keep", s.Events.Keep >= 1, "must be at least 1"},
		{"limits.memory_mb", isNonNegative(s.Limits.MemoryMB), "must be a number from 0, fractions allowed"},
		{"limits.max_descriptors", s.Limits.MaxDescriptors >= 0, "must not be negative"},
	}
	checks = append(checks, s.roleChecks()...)
	for i, l := range s.Links {
		key := fmt.Sprintf("links[%d]", i)
		checks = append(checks,
			check{key + ".between", len(l.Between) == 2, "must name two failure domains"},
			check{key + ".one_way", l.OneWay > 0, "must be longer than 0"},
			check{key + ".positions", l.Positions >= 0, "must not be negative"})
	}
	return firstError(checks)
}

func firstError(checks []check) error {
	for _, c := range checks {
		if !c.ok {
			return errors.Errorf("%s: %s", c.key, c.reason)
		}
	}
	return nil
}

func (s *Settings) routerChecks() []check {
	r := s.Router
	const address = "must be an IP number and a port, as 10.0.0.1:7400"
	const amount = "must be a number from 0, fractions allowed"
	checks := []check{
		{"instance", s.Instance != "", "must not be empty"},
		{"failure_domain", s.FailureDomain != "", "must not be empty"},
		{"router.callers", isAddress(r.Callers), address},
		{"router.ready", isAddress(r.Ready), address},
		{"router.peers", isAddress(r.Peers), address},
		{"router.metrics", r.Metrics == "" || isAddress(r.Metrics), address},
		{"router.store", isAddress(r.Store), address},
		{"router.grace", r.Grace > 0, "must be longer than 0"},
		{"router.config_apply", r.ConfigApply > 0, "must be longer than 0"},
		{"router.retry_ratio", isNonNegative(r.RetryRatio), amount},
		{"router.retry_slack", isNonNegative(r.RetrySlack), amount},
		{"router.retry_window", r.RetryWindow > 0, "must be longer than 0"},
		{"router.memory_mb", isNonNegative(r.MemoryMB), amount},
		{"router.max_descriptors", r.MaxDescriptors >= 0, "must not be negative"},
		{"router.link_mbps", isNonNegative(r.LinkMbps), amount},
	}
	for i, seed := range r.Seeds {
		checks = append(checks, check{fmt.Sprintf("router.seeds[%d]", i), isAddress(seed), address})
	}
	return checks
}

func (s *Settings) roleChecks() []check {
	if s.Role == model.RoleEntry {
		return []check{
			{"entry.drain_delay", s.Entry.DrainDelay >= 0, "must not be negative"},
			{"entry.keep_outcomes", s.Entry.KeepOutcomes > 0, "must be longer than 0"},
			{"entry.ledger_writes", s.Entry.LedgerWrites > 0, "must be above 0"},
		}
	}
	c := s.Sidecar
	pipeline := c.Kind == model.KindPipeline
	return []check{
		{"sidecar.service", c.Service != "", "must not be empty"},
		{"sidecar.kind", pipeline || c.Kind == model.KindPlain, `must be "pipeline" or "plain"`},
		{"sidecar.backend", isURL(c.Backend), "must be an http URL"},
		{"sidecar.layers", !pipeline || c.Layers > 0, "must be the model's number of layers"},
		{"sidecar.capacity", c.Capacity > 0, "must be at least 1"},
		{"sidecar.queue", c.Queue >= 0, "must not be negative"},
	}
}

// isNonNegative reports whether n is finite and at least 0. NaN is not.
func isNonNegative(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(u string) bool {
	p, err := url.Parse(u)
	return err == nil && (p.Scheme == "http" || p.Scheme == "https") && p.Host != ""
}
