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

// Exit codes of skylarkctl.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed
	exitUsage    = 2
	exitNotRun   = 3 // the request did not run
	exitCutOff   = 4 // the request may have run
	exitConflict = 5 // the template was changed meanwhile
	exitPartial  = 6 // accepted, but not yet in force everywhere
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	msg  string
}

func (e *exitError) Error() string { return e.msg }

// app holds the streams and options that all commands share.
type app struct {
	in       io.Reader
	out, err io.Writer
	entry    string
	output   string
}

// Main runs skylarkctl and returns its exit code.
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
		Short:         "Send requests, query their outcomes, change templates",
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
	f.StringVarP(&a.output, "output", "o", "text", "output format: text or json")
	root.AddCommand(a.newRequest(), a.newOutcome(), a.newTimeline(), a.newTemplate(), a.newStatus(), a.newSettings(), a.newLoad(), a.newExperiment())
	return root
}

func (a *app) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.err, "skylarkctl:", errorText(err))
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

// errorText returns the text of an error and, if known, what to do about it.
func errorText(err error) string {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err.Error()
	}
	msg := ce.Message()
	if after := ce.Meta().Get("retry-after-ms"); after != "" {
		msg += " (retry after " + after + " ms)"
	}
	if ce.Code() == connect.CodeUnavailable && ce.Meta().Get("skylarkwood-kind") == "" {
		msg += " (is --entry right?)"
	}
	return msg
}

func (a *app) client() *Client { return NewClient(a.entry) }

// show writes a message as JSON or, with text, as plain text.
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

// call makes a Connect call.
func call[Req, Rep any](ctx context.Context, f func(context.Context, *connect.Request[Req]) (*connect.Response[Rep], error), m *Req) (*Rep, error) {
	rep, err := f(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return rep.Msg, nil
}
