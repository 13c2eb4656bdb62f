// Package command is the command line of the daemon.
package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/ctl"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/logging"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform"
)

const exitFailure = 1

// Main runs the daemon's command line and returns the exit code.
func Main(args []string) int {
	root := newRoot(notifySIGHUP())
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "skylarkwoodd:", err)
		return exitFailure
	}
	return 0
}

// notifySIGHUP starts to receive SIGHUP. It must run first, because by default the signal ends
// the process, and it may arrive while a new router still reads its settings.
func notifySIGHUP() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func newRoot(hup <-chan os.Signal) *cobra.Command {
	var path string
	logs := flag.NewFlagSet("logs", flag.ContinueOnError)
	root := &cobra.Command{
		Use:           "skylarkwoodd --settings FILE",
		Short:         "Route requests to backend servers and engine chains",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = platform.SettingsPath()
			}
			if path == "" {
				return errors.New("no settings file: set --settings, or use `skylarkwoodd dev`, which needs none")
			}
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			if s.Role == model.RoleRouter {
				return runRouter(s, logs, path, hup)
			}
			return run(s)
		},
	}
	root.Flags().StringVar(&path, "settings", "", "settings file (TOML)")
	klog.InitFlags(logs)
	root.PersistentFlags().AddGoFlagSet(logs)
	root.AddCommand(newDev())
	return root
}

// run serves until SIGTERM or SIGINT, then drains.
func run(s settings.Settings) error {
	signal.Reset(syscall.SIGHUP) // the default: end the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if s.Role == model.RoleEntry {
		return daemon.NewEntry(s, daemon.Dial(s)).Run(ctx)
	}
	return daemon.NewSidecar(s, daemon.Dial(s)).Run(ctx)
}

// runRouter serves until SIGTERM or SIGINT, then drains. On SIGHUP it reads and checks the
// settings file again and logs whether it changed. Changes take effect at the next start.
func runRouter(s settings.Settings, logs *flag.FlagSet, path string, hup <-chan os.Signal) error {
	writer, err := logging.ToStdout(logs)
	if err != nil {
		return err
	}
	defer writer.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		for range hup {
			reloaded, err := settings.Load(path)
			klog.InfoS("settings file read again", "path", path, "err", err, "changed", err == nil && !reflect.DeepEqual(reloaded, s))
		}
	}()
	err = daemon.NewRouter(s, platform.NewStoreClient(s.Router.Store)).Run(ctx)
	// A log without this last line is that of a process that was killed or that crashed.
	klog.InfoS("process exiting", "err", err, "signal", context.Cause(ctx))
	return err
}

func newDev() *cobra.Command {
	var once bool
	var addr string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a small system in one process on loopback, for development",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signal.Reset(syscall.SIGHUP) // the default: end the process
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			if once {
				return runDevOnce(ctx)
			}
			return serveDev(ctx, addr)
		},
	}
	cmd.Flags().BoolVar(&once, "once", false, "send one request through three stages, print its outcome, and exit")
	cmd.Flags().StringVar(&addr, "http", "127.0.0.1:7400", "address that the entry listens on")
	return cmd
}

func serveDev(ctx context.Context, addr string) error {
	d, err := daemon.NewDev(addr)
	if err != nil {
		return err
	}
	fmt.Printf("entry at %s; customer %s, services %s and %s; stop with Ctrl-C\n",
		d.URL, daemon.DevCustomer, daemon.DevService, daemon.DevPlainService)
	return d.Run(ctx)
}

func runDevOnce(ctx context.Context) error {
	d, err := daemon.NewDev("")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	c := ctl.NewClient(d.URL)
	if err := d.WaitReady(ctx, c.ReachableInstances); err != nil {
		return err
	}
	if err := sendDevRequest(ctx, c); err != nil {
		return err
	}
	stop()
	return <-done
}

func sendDevRequest(ctx context.Context, c *ctl.Client) error {
	const maxTokens = 24
	fmt.Print("response: ")
	res, err := c.Submit(ctx, &v1.SubmitRequest{
		Customer:  daemon.DevCustomer,
		Service:   daemon.DevService,
		Body:      []byte("Draft the round sheet for the school on Manus before Thursday 's inspection"),
		MaxTokens: maxTokens,
	}, os.Stdout)
	fmt.Println()
	if err != nil {
		return err
	}
	ctl.PrintOutcome(os.Stdout, res.ID, res.Outcome)
	if res.Outcome.State != v1.OutcomeState_OUTCOME_STATE_RAN {
		return errors.New("the request did not run")
	}
	rep, err := c.Requests.GetTimeline(ctx, connect.NewRequest(&v1.GetTimelineRequest{
		Customer:  daemon.DevCustomer,
		RequestId: res.ID,
	}))
	if err != nil {
		return err
	}
	fmt.Println("request timeline:")
	ctl.PrintTimeline(os.Stdout, rep.Msg.Events, rep.Msg.Unreachable)
	return nil
}
