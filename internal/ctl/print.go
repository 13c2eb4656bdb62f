package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
)

var stateNames = map[v1.OutcomeState]string{
	v1.OutcomeState_OUTCOME_STATE_IN_PROGRESS: "in progress",
	v1.OutcomeState_OUTCOME_STATE_RAN:         "ran",
	v1.OutcomeState_OUTCOME_STATE_NOT_RUN:     "not run",
	v1.OutcomeState_OUTCOME_STATE_CUT_OFF:     "cut off",
}

// PrintOutcome writes an outcome as text.
func PrintOutcome(w io.Writer, id string, o *v1.Outcome) {
	fmt.Fprintf(w, "request:  %s\n", id)
	fmt.Fprintf(w, "outcome:  %s", stateNames[o.State])
	if o.MayHaveRun {
		fmt.Fprint(w, " (may have run)")
	}
	fmt.Fprintln(w)
	printLine(w, "kind:     ", o.Kind)
	printLine(w, "cause:    ", o.Cause)
	printLine(w, "evidence: ", o.Evidence)
	printLine(w, "entry:    ", o.Entry)
	if o.RetryAfterMs > 0 {
		fmt.Fprintf(w, "retry after: %v\n", time.Duration(o.RetryAfterMs)*time.Millisecond)
	}
}

func printLine(w io.Writer, name, value string) {
	if value != "" {
		fmt.Fprintln(w, name+value)
	}
}

// PrintTimeline writes events as text, in causal order.
func PrintTimeline(w io.Writer, events []*v1.Event, unreachable []string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range events {
		at := time.UnixMilli(e.WallMs).UTC().Format("15:04:05.000")
		fmt.Fprintf(tw, "%s+%d\t%s\t%s\t%s\n", at, e.Logical, e.Instance, e.Kind, e.Detail)
	}
	tw.Flush()
	for _, u := range unreachable {
		fmt.Fprintf(w, "no answer from %s: its events are missing\n", u)
	}
}
