package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkwood/skylarkwood/internal/load"
	"github.com/skylarkwood/skylarkwood/internal/settings"
)

// mixFile is the TOML file with the mix of requests.
type mixFile struct {
	Mix []struct {
		Customer      string  `toml:"customer"`
		Service       string  `toml:"service"`
		Weight        float64 `toml:"weight"`
		Tokens        int32   `toml:"tokens"`
		Body          string  `toml:"body"`
		NotRepeatable bool    `toml:"not_repeatable"`
	} `toml:"mix"`
}

func (a *app) newLoad() *cobra.Command {
	var cfg load.Config
	var mix, path, entries string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send an open-loop load and report the outcomes of its requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := a.readMix(mix, &cfg); err != nil {
				return err
			}
			cfg.Entries = []string{a.entry}
			if entries != "" {
				cfg.Entries = strings.Split(entries, ",")
			}
			if cfg.Rate <= 0 || cfg.Duration <= 0 {
				return &exitError{exitUsage, "--rate and --duration must be above 0"}
			}
			return a.showReport(load.Run(cmd.Context(), cfg), path)
		},
	}
	f := cmd.Flags()
	f.StringVar(&mix, "mix", "", "TOML file with the mix of requests")
	f.StringVar(&entries, "entries", "", "base URLs of several entries, separated by commas")
	f.Float64Var(&cfg.Rate, "rate", 10, "mean requests per second")
	f.DurationVar(&cfg.Duration, "duration", 10*time.Second, "how long to send requests")
	f.Float64Var(&cfg.Burst, "burst", 1, "rate during a burst, as a multiple of --rate")
	f.DurationVar(&cfg.Period, "period", 10*time.Second, "time between the starts of two bursts")
	f.DurationVar(&cfg.Timeout, "timeout", 0, "timeout of each request; 0 uses the template's")
	f.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the arrival times")
	f.StringVar(&path, "report", "", "write the report to this HTML file")
	_ = cmd.MarkFlagRequired("mix")
	return cmd
}

func (a *app) readMix(path string, cfg *load.Config) error {
	raw, err := a.readFile(path)
	if err != nil {
		return err
	}
	var m mixFile
	if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&m); err != nil {
		return errors.Wrap(settings.FormatError(err), path)
	}
	if len(m.Mix) == 0 {
		return errors.Errorf("%s: mix: must not be empty", path)
	}
	for i, k := range m.Mix {
		if k.Weight <= 0 {
			return errors.Errorf("%s: mix[%d].weight: must be above 0", path, i)
		}
		cfg.Mix = append(cfg.Mix, load.RequestKind(k))
	}
	return nil
}

// report is the result of a measurement.
type report interface {
	Text(w io.Writer)
	HTML(w io.Writer) error
}

// showReport prints a report and, if path is set, writes it to that file as HTML.
func (a *app) showReport(r report, path string) error {
	if a.output == "json" {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return err
		}
	} else {
		r.Text(a.out)
	}
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.HTML(f); err != nil {
		f.Close()
		return err
	}
	fmt.Fprintln(a.err, "report written to", path)
	return f.Close()
}
