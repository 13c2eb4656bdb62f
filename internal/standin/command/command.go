// Package command is the command line of the stand-ins.
package command

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// Main runs one stand-in until it is killed and gives the exit code.
func Main(args []string) int {
	root := &cobra.Command{Use: "skylark-standin", SilenceUsage: true}
	addr := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to answer on")
	root.AddCommand(newKV(addr), newInstances(addr), newEngine(addr), newPlain(addr))
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "skylark-standin:", err)
		return 1
	}
	return 0
}

func serve(addr string, h http.Handler) error {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: time.Minute}
	return s.ListenAndServe()
}

func newKV(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "kv",
		Short: "The platform's key-value service",
		RunE: func(*cobra.Command, []string) error {
			return serve(*addr, standin.KVHandler(standin.NewKV()))
		},
	}
}

func newInstances(addr *string) *cobra.Command {
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "instances",
		Short: "The platform's instance list",
		RunE: func(*cobra.Command, []string) error {
			return serve(*addr, standin.InstancesHandler(standin.NewInstances(lag)))
		},
	}
	cmd.Flags().DurationVar(&lag, "lag", 0, "how late the list shows a change")
	return cmd
}

func newEngine(addr *string) *cobra.Command {
	var cfg standin.EngineConfig
	var r model.LayerRange
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine that holds a range of layers",
		RunE: func(*cobra.Command, []string) error {
			cfg.Range = r
			return serve(*addr, standin.EngineHandler(standin.NewEngine(cfg)))
		},
	}
	f := cmd.Flags()
	f.IntVar(&r.From, "from", 0, "first layer held")
	f.IntVar(&r.To, "to", 1, "layer after the last one held")
	f.IntVar(&cfg.Layers, "layers", 1, "layers of the whole model")
	f.DurationVar(&cfg.StepTime, "step", time.Millisecond, "time of one layer for one batch")
	f.DurationVar(&cfg.PositionTime, "position", 0, "time added per layer for each position of a batch")
	f.IntVar(&cfg.MaxBatch, "batch", 64, "positions that run together")
	f.IntVar(&cfg.Capacity, "capacity", 16, "sessions the engine reports to hold")
	f.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "take orders with an old fencing number")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "how old the load report is")
	return cmd
}

func newPlain(addr *string) *cobra.Command {
	var t time.Duration
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "A plain service beside the engines",
		RunE: func(*cobra.Command, []string) error {
			return serve(*addr, standin.PlainHandler(standin.NewPlain(t)))
		},
	}
	cmd.Flags().DurationVar(&t, "time", time.Millisecond, "time of one call")
	return cmd
}
