package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	outside "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
)

// The operator publishes a configuration that the code cannot read without a panic. All
// routers take it in at one moment, and again after each start: with the process ended by
// it no caller would be served until it is replaced. It is passed over, the one before
// stays in force, and the next one comes into force; also where a peer hands it on.
func TestConfigurationThatEndsItsReader(t *testing.T) {
	r := NewRouter(settings.Default(), nil)
	r.decode = func(raw []byte) (*model.RouteConfig, error) {
		if string(raw) == "2" {
			panic("a fault of the code")
		}
		return &model.RouteConfig{Version: int64(raw[0] - '0')}, nil
	}
	sink := (*routerSink)(r)
	for _, version := range []string{"1", "2"} {
		sink.Change(outside.Item{Key: platform.ConfigKey, Value: []byte(version), Revision: 5}, 0)
		assert.Equal(t, r.config.Version(), int64(1))
	}
	_, err := r.exchange.Decode([]byte("2"))
	assert.ErrorIs(t, err, errPanic)
	sink.Reset(outside.Page{Revision: 7, Items: []outside.Item{
		{Key: platform.ConfigKey, Value: []byte("2"), Revision: 6},
		{Key: platform.ConfigKey, Value: []byte("3"), Revision: 7},
	}}, time.Second)
	assert.Equal(t, r.config.Version(), int64(3))
}
