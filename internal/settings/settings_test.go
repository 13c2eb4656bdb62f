package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSettings = `
role = "sidecar"
instance = "s1"
failure_domain = "hala-luka"
region = "juzna-regija"
[listen]
link = "127.0.0.1:7501"
http = "127.0.0.1:7500"
[platform]
key_value = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9001"
[sidecar]
service = "planer-rundi"
backend = "http://127.0.0.1:9100"
layers = 24
`

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Sidecar.Capacity, Default().Sidecar.Capacity)
}

// An invalid setting must yield an error of one line that names the key and the reason.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", `layers = 24`, "layers = 24\nlayer = 3", "sidecar.layer: unknown key"},
		{"role", `"sidecar"`, `"boss"`, "role: must be"},
		{"address with a name", `127.0.0.1:7501`, `localhost:7501`, "listen.link: must be an IP number"},
		{"same address twice", `127.0.0.1:7501`, `127.0.0.1:7500`, "listen.http: must differ"},
		{"no URL", `http://127.0.0.1:9000`, `127.0.0.1:9000`, "platform.key_value: must be an http URL"},
		{"no layers", `layers = 24`, ``, "sidecar.layers: must be"},
		{"limit of 0", `layers = 24`, "layers = 24\ncapacity = 0", "sidecar.capacity: must be at least 1"},
		{"wrong type", `layers = 24`, `layers = "many"`, "sidecar.layers: line"},
		{"bad duration", `[sidecar]`, "[entry]\ndrain_delay = \"soon\"\n[sidecar]", "drain_delay"},
		{"link with one failure domain", `[sidecar]`, "[[links]]\nbetween = [\"a\"]\none_way = \"1ms\"\n[sidecar]", "links[0].between: must name two"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			assert.ErrorContains(t, err, tc.want)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"), "one line: %v", err)
		})
	}
}

// Guards against examples that the daemon rejects.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6, "%d examples", len(files))
	for _, f := range files {
		if strings.HasPrefix(filepath.Base(f), "template-") {
			continue
		}
		_, err := Load(f)
		assert.NilError(t, err)
	}
}

func TestMissingFileIsReported(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	assert.Assert(t, os.IsNotExist(unwrap(err)), "%v", err)
}

func unwrap(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok || u.Unwrap() == nil {
			return err
		}
		err = u.Unwrap()
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("role = 1"))
	if router, err := os.ReadFile("../../examples/router.toml"); err == nil {
		f.Add(router)
	}
	f.Add([]byte("[router]\nretry_slack = 57.35\ngrace = \"1e300ms\""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil {
			assert.NilError(t, s.Validate())
		}
	})
}

// The example of a router must be valid, and an error must name an invalid key.
func TestRouterExampleIsValid(t *testing.T) {
	raw, err := os.ReadFile("../../examples/router.toml")
	assert.NilError(t, err)
	s, err := Parse(raw)
	assert.NilError(t, err)
	assert.Equal(t, s.Router.RetrySlack, 196.0)
	for _, wrong := range [][2]string{
		{`callers = "10.1.0.40:8227"`, `callers = "somewhere"`},
		{`store = "10.200.1.7:8223"`, `store = ""`},
		{`grace = "8s"`, `grace = "0s"`},
		{`seeds = ["10.2.0.29:8229"]`, `seeds = ["x"]`},
		{`instance = "edge-hala-luka-1"`, `instance = ""`},
		{`retry_ratio = 0.2`, `retry_ratio = -1.0`},
	} {
		key, _, _ := strings.Cut(wrong[1], " ")
		_, err := Parse([]byte(strings.Replace(string(raw), wrong[0], wrong[1], 1)))
		assert.ErrorContains(t, err, key)
	}
}

// Guards against a router that rejects fractions, exponents or zeros in its settings and so
// does not start.
func TestNumberNotationsAreAccepted(t *testing.T) {
	raw, err := os.ReadFile("../../examples/router.toml")
	assert.NilError(t, err)
	for _, tc := range []struct {
		old, new string
		got      func(Router) float64
		want     float64
	}{
		{`retry_slack = 196`, `retry_slack = 57.35`, func(r Router) float64 { return r.RetrySlack }, 57.35},
		{`retry_slack = 196`, `retry_slack = 1.96e2`, func(r Router) float64 { return r.RetrySlack }, 196},
		{`retry_slack = 196`, `retry_slack = 0`, func(r Router) float64 { return r.RetrySlack }, 0},
		{`retry_ratio = 0.2`, `retry_ratio = 1`, func(r Router) float64 { return r.RetryRatio }, 1},
		{`memory_mb = 284`, `memory_mb = 162.5`, func(r Router) float64 { return r.MemoryMB }, 162.5},
		{`link_mbps = 1000`, `link_mbps = 12.5`, func(r Router) float64 { return r.LinkMbps }, 12.5},
		{`grace = "8s"`, `grace = "8.5s"`, func(r Router) float64 { return time.Duration(r.Grace).Seconds() }, 8.5},
		{`config_apply = "2s"`, `config_apply = "2.5e3ms"`, func(r Router) float64 { return time.Duration(r.ConfigApply).Seconds() }, 2.5},
		{`config_apply = "2s"`, `config_apply = "1e300ms"`, func(r Router) float64 { return time.Duration(r.ConfigApply).Seconds() }, maxDuration.Seconds()},
	} {
		s, err := Parse([]byte(strings.Replace(string(raw), tc.old, tc.new, 1)))
		assert.NilError(t, err, tc.new)
		assert.Equal(t, tc.got(s.Router), tc.want, tc.new)
	}
}

// An invalid number must yield an error of one line that names the key and the allowed values.
func TestInvalidNumbersAreNamed(t *testing.T) {
	raw, err := os.ReadFile("../../examples/router.toml")
	assert.NilError(t, err)
	for _, tc := range []struct{ old, new, want string }{
		{`retry_slack = 196`, `retry_slack = nan`, "router.retry_slack: must be a number from 0"},
		{`retry_slack = 196`, `retry_slack = inf`, "router.retry_slack: must be a number from 0"},
		{`retry_slack = 196`, `retry_slack = -0.5`, "router.retry_slack: must be a number from 0"},
		{`retry_slack = 196`, `retry_slack = "196"`, "router.retry_slack: line"},
		{`retry_slack = 196`, `retry_slack = `, "line"},
		{`memory_mb = 284`, `memory_mb = -1`, "router.memory_mb: must be a number from 0"},
		{`link_mbps = 1000`, `link_mbps = -1`, "router.link_mbps: must be a number from 0"},
		{`grace = "8s"`, `grace = "s"`, "router.grace: line"},
		{`grace = "8s"`, `grace = "-1e3ms"`, "router.grace: must be longer than 0"},
	} {
		_, err := Parse([]byte(strings.Replace(string(raw), tc.old, tc.new, 1)))
		assert.ErrorContains(t, err, tc.want, tc.new)
		assert.Assert(t, !strings.Contains(err.Error(), "\n"), "one line: %v", err)
	}
}
