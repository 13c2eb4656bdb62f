package ctl

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Exit codes, for scripts.
const (
	exitOK       = 0
	exitFailed   = 1 // the command could not be carried out
	exitUsage    = 2
	exitNotRun   = 3 // the request provably did not run
	exitCutOff   = 4 // the request may have run
	exitConflict = 5 // another operator changed the template first
	exitPartial  = 6 // accepted, but not yet in force everywhere
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	msg  string
}

func (e *exitError) Error() string { return e.msg }

// app is what all commands share.
type app struct {
	in       io.Reader
	out, err io.Writer
	entry    string
	output   string
}

// Main runs skylarkctl and gives the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out, err: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	return a.exitCode(root.Execute())
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "skylarkctl",
		Short:         "Send requests, ask what became of them, change templates",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != "text" && a.output != "json" {
				return &exitError{exitUsage, fmt.Sprintf("--output is %q; it takes text or json", a.output)}
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&a.entry, "entry", "http://127.0.0.1:7400", "base URL of an entry")
	f.StringVarP(&a.output, "output", "o", "text", "text for people, json for programs")
	root.AddCommand(a.newRequest(), a.newOutcome(), a.newTimeline(), a.newTemplate(), a.newStatus(), a.newSettings(), a.newLoad(), a.newExperiment())
	return root
}

func (a *app) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.err, "skylarkctl:", explain(err))
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

// explain says what a person can do about an error.
func explain(err error) string {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err.Error()
	}
	msg := ce.Message()
	if after := ce.Meta().Get("retry-after-ms"); after != "" {
		msg += " (come back after " + after + " ms)"
	}
	if ce.Code() == connect.CodeUnavailable && ce.Meta().Get("skylarkwood-kind") == "" {
		msg += " (is --entry right?)"
	}
	return msg
}

func (a *app) client() *Client { return NewClient(a.entry) }

// show prints a message as JSON, or as text by the given function.
func (a *app) show(m proto.Message, text func(io.Writer)) error {
	if a.output != "json" {
		text(a.out)
		return nil
	}
	raw, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(a.out, string(raw))
	return err
}

// ask makes a Connect call with a plain message.
func ask[Req, Rep any](ctx context.Context, f func(context.Context, *connect.Request[Req]) (*connect.Response[Rep], error), m *Req) (*Rep, error) {
	rep, err := f(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return rep.Msg, nil
}
