package ctl

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
)

// readFile returns the contents of a file, or of standard input if path is "-".
func (a *app) readFile(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(a.in)
		return raw, errors.Wrap(err, "read standard input")
	}
	return os.ReadFile(path)
}

// requestTarget holds the flags that identify a request.
type requestTarget struct{ customer string }

func (t *requestTarget) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&t.customer, "customer", "", "customer of the request")
	_ = cmd.MarkFlagRequired("customer")
}

func (a *app) newRequest() *cobra.Command {
	var t requestTarget
	var timeout time.Duration
	m := &v1.SubmitRequest{}
	cmd := &cobra.Command{
		Use:   "request BODY",
		Short: "Send a request and print its response; - reads the body from standard input",
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
	t.addFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&m.Service, "service", "", "service that handles the request")
	f.StringVar(&m.RequestId, "id", "", "request id; the same id returns the same response")
	f.Int32Var(&m.MaxTokens, "tokens", 0, "maximum number of tokens of a pipeline service")
	f.DurationVar(&timeout, "timeout", 0, "timeout of the request; 0 uses the template's")
	f.BoolVar(&m.NotRepeatable, "not-repeatable", false, "run the request at most once")
	_ = cmd.MarkFlagRequired("service")
	return cmd
}

func (a *app) body(arg string) ([]byte, error) {
	if arg != "-" {
		return []byte(arg), nil
	}
	return a.readFile(arg)
}

func (a *app) sendRequest(cmd *cobra.Command, m *v1.SubmitRequest) error {
	response := a.out
	if a.output == "json" {
		response = io.Discard
	}
	res, err := a.client().Submit(cmd.Context(), m, response)
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

// outcomeError returns an error with the exit code of an outcome, or nil if the request ran.
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
	var t requestTarget
	cmd := &cobra.Command{
		Use:   "outcome ID",
		Short: "Print the outcome of a request and its evidence",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := call(cmd.Context(), a.client().Requests.GetOutcome,
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
	t.addFlags(cmd)
	return cmd
}

func (a *app) newTimeline() *cobra.Command {
	var t requestTarget
	cmd := &cobra.Command{
		Use:   "timeline ID",
		Short: "Print the events of a request in all processes, in causal order",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := call(cmd.Context(), a.client().Requests.GetTimeline,
				&v1.GetTimelineRequest{Customer: t.customer, RequestId: args[0]})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) { PrintTimeline(w, rep.Events, rep.Unreachable) })
		},
	}
	t.addFlags(cmd)
	return cmd
}
