// Package command implements the command line of the test doubles.
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

// Main runs a test double until it is terminated and returns the exit code.
func Main(args []string) int {
	root := &cobra.Command{Use: "skylark-standin", SilenceUsage: true}
	addr := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to listen on")
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
	cmd.Flags().DurationVar(&lag, "lag", 0, "delay until the list shows a change")
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
	f.IntVar(&cfg.Layers, "layers", 1, "number of layers of the model")
	f.DurationVar(&cfg.StepTime, "step", time.Millisecond, "time to run one layer on a batch")
	f.DurationVar(&cfg.PositionTime, "position", 0, "time added for each layer and each position of a batch")
	f.IntVar(&cfg.MaxBatch, "batch", 64, "maximum number of positions in a batch")
	f.IntVar(&cfg.Capacity, "capacity", 16, "session capacity that the engine reports")
	f.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "accept requests with a stale fencing token")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "interval at which the load report is updated")
	return cmd
}

func newPlain(addr *string) *cobra.Command {
	var t time.Duration
	var answer int
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "A plain service",
		RunE: func(*cobra.Command, []string) error {
			p := standin.NewPlain(t)
			p.AnswerBytes = answer
			return serve(*addr, standin.PlainHandler(p))
		},
	}
	cmd.Flags().DurationVar(&t, "time", time.Millisecond, "duration of a call")
	cmd.Flags().IntVar(&answer, "answer", 0, "size of each answer in bytes; 0 repeats the body")
	return cmd
}
