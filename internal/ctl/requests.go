package ctl

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
)

// file reads a file, or standard input for "-".
func (a *app) file(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(a.in)
		return raw, errors.Wrap(err, "read standard input")
	}
	return os.ReadFile(path)
}

// target names a request on the command line.
type target struct{ customer string }

func (t *target) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&t.customer, "customer", "", "customer whose request it is")
	_ = cmd.MarkFlagRequired("customer")
}

func (a *app) newRequest() *cobra.Command {
	var t target
	var timeout time.Duration
	m := &v1.SubmitRequest{}
	cmd := &cobra.Command{
		Use:   "request BODY",
		Short: "Send one request and print its answer; BODY may be - for standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			m.Customer = t.customer
			m.TimeoutMs = timeout.Milliseconds()
			body, err := a.body(args[0])
			if err != nil {
				return err
			}
			m.Body = body
			return a.sendRequest(cmd, m)
		},
	}
	t.flags(cmd)
	f := cmd.Flags()
	f.StringVar(&m.Service, "service", "", "service to reach")
	f.StringVar(&m.RequestId, "id", "", "request id; give the same one to come back for the answer")
	f.Int32Var(&m.MaxTokens, "tokens", 0, "tokens wanted from a pipeline service")
	f.DurationVar(&timeout, "timeout", 0, "how long to wait; 0 takes the template's")
	f.BoolVar(&m.NotRepeatable, "not-repeatable", false, "run at most once")
	_ = cmd.MarkFlagRequired("service")
	return cmd
}

func (a *app) body(arg string) ([]byte, error) {
	if arg != "-" {
		return []byte(arg), nil
	}
	return a.file(arg)
}

func (a *app) sendRequest(cmd *cobra.Command, m *v1.SubmitRequest) error {
	answer := a.out
	if a.output == "json" {
		answer = io.Discard
	}
	res, err := a.client().Submit(cmd.Context(), m, answer)
	if err != nil {
		return err
	}
	err = a.show(&v1.SubmitResponse{RequestId: res.ID, Data: res.Response, Outcome: res.Outcome}, func(w io.Writer) {
		_, _ = io.WriteString(w, "\n")
		PrintOutcome(w, res.ID, res.Outcome)
	})
	if err != nil {
		return err
	}
	return outcomeError(res.Outcome)
}

// outcomeError turns an outcome into the exit code for scripts.
func outcomeError(o *v1.Outcome) error {
	switch o.State {
	case v1.OutcomeState_OUTCOME_STATE_NOT_RUN:
		return &exitError{exitNotRun, "not run: " + o.Cause}
	case v1.OutcomeState_OUTCOME_STATE_CUT_OFF:
		return &exitError{exitCutOff, "cut off, may have run: " + o.Cause}
	}
	return nil
}

func (a *app) newOutcome() *cobra.Command {
	var t target
	cmd := &cobra.Command{
		Use:   "outcome ID",
		Short: "Tell what became of a request, and what that rests on",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := ask(cmd.Context(), a.client().Requests.GetOutcome,
				&v1.GetOutcomeRequest{Customer: t.customer, RequestId: args[0]})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) {
				PrintOutcome(w, args[0], rep.Outcome)
				for _, u := range rep.Unreachable {
					_, _ = io.WriteString(w, "no answer from "+u+"\n")
				}
			})
		},
	}
	t.flags(cmd)
	return cmd
}

func (a *app) newTimeline() *cobra.Command {
	var t target
	cmd := &cobra.Command{
		Use:   "timeline ID",
		Short: "Print the events of a request over all processes, in causal order",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := ask(cmd.Context(), a.client().Requests.GetTimeline,
				&v1.GetTimelineRequest{Customer: t.customer, RequestId: args[0]})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) { PrintTimeline(w, rep.Events, rep.Unreachable) })
		},
	}
	t.flags(cmd)
	return cmd
}
