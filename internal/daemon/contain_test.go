package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
)

// Guards against a configuration whose decoding panics ending the process of every router. It
// is skipped, also when it comes from a peer, and the next one is applied.
func TestConfigurationWhoseDecodingPanicsIsSkipped(t *testing.T) {
	r := NewRouter(settings.Default(), nil)
	r.decode = func(raw []byte) (*model.RouteConfig, error) {
		if string(raw) == "2" {
			panic("decoder fault")
		}
		return &model.RouteConfig{Version: int64(raw[0] - '0')}, nil
	}
	sink := (*routerSink)(r)
	for _, version := range []string{"1", "2"} {
		sink.Change(external.Item{Key: platform.ConfigKey, Value: []byte(version), Revision: 5}, 0)
		waitForConfigs(&r.configs)
		assert.Equal(t, r.config.Version(), int64(1))
	}
	_, err := r.exchange.Decode([]byte("2"))
	assert.ErrorIs(t, err, errPanic)
	sink.Reset(external.Page{Revision: 7, Items: []external.Item{
		{Key: platform.ConfigKey, Value: []byte("2"), Revision: 6},
		{Key: platform.ConfigKey, Value: []byte("3"), Revision: 7},
	}}, time.Second)
	waitForConfigs(&r.configs)
	assert.Equal(t, r.config.Version(), int64(3))
}
