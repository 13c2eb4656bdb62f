package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
)

// file is the TOML form of a site.
type file struct {
	Layers       int     `toml:"layers"`
	LayerMB      float64 `toml:"layer_mb"`
	KVTokenBytes float64 `toml:"kv_token_bytes"` // over all layers
	StepMS       float64 `toml:"step_ms"`        // time of a token over all layers, at pace 1
	ReadPerS     float64 `toml:"read_per_s"`     // prompt tokens per second over all layers, at read factor 1
	UsualPrompt  int     `toml:"usual_prompt"`
	UsualAnswer  int     `toml:"usual_answer"`
	Cards        []struct {
		Name       string  `toml:"name"`
		MB         float64 `toml:"mb"`
		Pace       float64 `toml:"pace"`
		ReadFactor float64 `toml:"read_factor"`
	} `toml:"card"`
	Engines []struct {
		Domain string `toml:"domain"`
		Card   string `toml:"card"`
		Count  int    `toml:"count"`
	} `toml:"engines"`
}

// Read decodes and checks a site. An error names the wrong key.
func Read(raw []byte) (Site, error) {
	var f file
	if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&f); err != nil {
		return Site{}, settings.FormatError(err)
	}
	for _, n := range []struct {
		name  string
		value float64
	}{
		{"layers", float64(f.Layers)}, {"layer_mb", f.LayerMB}, {"kv_token_bytes", f.KVTokenBytes}, {"step_ms", f.StepMS},
		{"read_per_s", f.ReadPerS}, {"usual_prompt", float64(f.UsualPrompt)}, {"usual_answer", float64(f.UsualAnswer)},
	} {
		if n.value <= 0 {
			return Site{}, errors.Errorf("%s: must be above 0", n.name)
		}
	}
	return f.site()
}

func (f file) site() (Site, error) {
	spec := &model.EngineSpec{
		Layers:           f.Layers,
		LayerMB:          f.LayerMB,
		KVTokenBytes:     f.KVTokenBytes,
		StepTime:         time.Duration(f.StepMS * float64(time.Millisecond)),
		PrefillRate:      f.ReadPerS,
		MeanPromptTokens: f.UsualPrompt,
		MeanAnswerTokens: f.UsualAnswer,
	}
	for i, c := range f.Cards {
		if c.Name == "" || c.MB <= 0 || c.Pace <= 0 || c.ReadFactor <= 0 {
			return Site{}, errors.Errorf("card[%d]: name must not be empty; mb, pace and read_factor must be above 0", i)
		}
		spec.Cards = append(spec.Cards, model.Card{Name: c.Name, MB: c.MB, StepTimeFactor: c.Pace, PrefillFactor: c.ReadFactor})
	}
	s := Site{Spec: spec}
	for i, g := range f.Engines {
		card, ok := spec.Card(g.Card)
		if !ok {
			return Site{}, errors.Errorf("engines[%d].card: no card is named %q", i, g.Card)
		}
		if g.Count <= 0 {
			return Site{}, errors.Errorf("engines[%d].count: must be above 0", i)
		}
		for n := range g.Count {
			s.Engines = append(s.Engines, placement.Engine{Address: fmt.Sprintf("%s-%s-%d-%d", g.Domain, g.Card, i, n), Domain: g.Domain, Card: card})
		}
	}
	if len(s.Engines) == 0 {
		return Site{}, errors.New("engines: must not be empty")
	}
	return s, nil
}
