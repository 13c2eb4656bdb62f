package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/settings"
)

func (a *app) newTemplate() *cobra.Command {
	cmd := &cobra.Command{Use: "template", Short: "Read and change customers' templates"}
	cmd.AddCommand(a.newTemplateGet(), a.newTemplateList(), a.newTemplateHistory(), a.newTemplateSet())
	return cmd
}

func (a *app) newTemplateGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get CUSTOMER",
		Short: "Print a customer's template as TOML, as template set reads it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := call(cmd.Context(), a.client().Operators.GetTemplate, &v1.GetTemplateRequest{Customer: args[0]})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) { printTemplate(w, rep.Change) })
		},
	}
}

func (a *app) newTemplateList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the customers that have a template",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rep, err := call(cmd.Context(), a.client().Operators.ListTemplates, &v1.ListTemplatesRequest{})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) {
				fmt.Fprintf(w, "configuration %d\n", rep.ConfigRevision)
				printChanges(w, rep.Changes)
			})
		},
	}
}

func (a *app) newTemplateHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history CUSTOMER",
		Short: "List the latest changes of a customer's template, newest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := call(cmd.Context(), a.client().Operators.GetTemplateHistory, &v1.GetTemplateHistoryRequest{Customer: args[0]})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) { printChanges(w, rep.Changes) })
		},
	}
}

func printChanges(w io.Writer, changes []*v1.TemplateChange) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CUSTOMER\tREVISION\tCONFIGURATION\tCHANGED\tBY\tSERVICES")
	for _, c := range changes {
		var services []string
		for _, r := range c.Template.Rules {
			services = append(services, r.Service)
		}
		at := time.UnixMilli(c.ChangedAtMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\t%s\n", c.Template.Customer, c.Revision, c.ConfigRevision, at, c.Author, strings.Join(services, ","))
	}
	tw.Flush()
}

// templateFile is the TOML form of a template.
type templateFile struct {
	Customer string `toml:"customer"`
	// Revision is the revision that the change is based on; 0 creates the template.
	Revision   int64             `toml:"revision"`
	Parameters map[string]string `toml:"parameters,omitempty"`
	Services   []serviceFile     `toml:"services"`
}

type serviceFile struct {
	Service        string            `toml:"service"`
	Priority       int32             `toml:"priority"`
	NotRepeatable  bool              `toml:"not_repeatable,omitempty"`
	Rate           float64           `toml:"rate,omitempty"`
	Burst          int32             `toml:"burst,omitempty"`
	DefaultTimeout settings.Duration `toml:"default_timeout"`
}

func printTemplate(w io.Writer, c *v1.TemplateChange) {
	f := templateFile{Customer: c.Template.Customer, Revision: c.Revision, Parameters: c.Template.Parameters}
	for _, r := range c.Template.Rules {
		f.Services = append(f.Services, serviceFile{
			Service:        r.Service,
			Priority:       r.Priority,
			NotRepeatable:  r.NotRepeatable,
			Rate:           r.Rate,
			Burst:          r.Burst,
			DefaultTimeout: settings.Duration(time.Duration(r.DefaultTimeoutMs) * time.Millisecond),
		})
	}
	raw, err := toml.Marshal(f)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	_, _ = w.Write(raw)
}

func parseTemplate(raw []byte) (*v1.SetTemplateRequest, error) {
	var f templateFile
	dec := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, settings.FormatError(err)
	}
	t := &v1.Template{Customer: f.Customer, Parameters: f.Parameters}
	for _, s := range f.Services {
		t.Rules = append(t.Rules, &v1.ServiceRule{
			Service:          s.Service,
			Priority:         s.Priority,
			NotRepeatable:    s.NotRepeatable,
			Rate:             s.Rate,
			Burst:            s.Burst,
			DefaultTimeoutMs: time.Duration(s.DefaultTimeout).Milliseconds(),
		})
	}
	return &v1.SetTemplateRequest{Template: t, ExpectedRevision: f.Revision}, nil
}

func (a *app) newTemplateSet() *cobra.Command {
	var author string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "set FILE",
		Short: "Replace a template by a TOML file; - reads standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			m, err := parseTemplate(raw)
			if err != nil {
				return errors.Wrap(err, args[0])
			}
			m.Author = author
			m.WaitMs = wait.Milliseconds()
			return a.setTemplate(cmd, m)
		},
	}
	cmd.Flags().StringVar(&author, "author", "", "author of the change")
	cmd.Flags().DurationVar(&wait, "wait", 8*time.Second, "how long to wait until the change is in force everywhere")
	_ = cmd.MarkFlagRequired("author")
	return cmd
}

func (a *app) setTemplate(cmd *cobra.Command, m *v1.SetTemplateRequest) error {
	rep, err := call(cmd.Context(), a.client().Operators.SetTemplate, m)
	if connect.CodeOf(err) == connect.CodeAborted {
		return a.conflictError(err)
	}
	if err != nil {
		return err
	}
	err = a.show(rep, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: %s is at revision %d, configuration %d\n", rep.Change.Template.Customer, rep.Change.Revision, rep.Change.ConfigRevision)
		if rep.InForceEverywhere {
			fmt.Fprintln(w, "in force everywhere")
		}
	})
	if err != nil || rep.InForceEverywhere {
		return err
	}
	return &exitError{exitPartial, "accepted, but not confirmed by " + strings.Join(rep.Missing, ", ")}
}

// conflictError prints the template as changed by another operator and returns an exitError.
func (a *app) conflictError(err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			if other, derr := d.Value(); derr == nil {
				if c, ok := other.(*v1.TemplateChange); ok {
					fmt.Fprintln(a.err, "# the current template:")
					printTemplate(a.err, c)
				}
			}
		}
	}
	return &exitError{exitConflict, errorText(err)}
}

func (a *app) newStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of the instances as known to one entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rep, err := call(cmd.Context(), a.client().Operators.GetStatus, &v1.GetStatusRequest{})
			if err != nil {
				return err
			}
			return a.show(rep, func(w io.Writer) { printStatus(w, rep) })
		},
	}
}

func printStatus(w io.Writer, rep *v1.GetStatusResponse) {
	fmt.Fprintf(w, "configuration %d\n", rep.ConfigRevision)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "INSTANCE\tROLE\tDOMAIN\tSTATE\tCONFIG\tSERVICE\tLAYERS\tACTIVE")
	for _, in := range rep.Instances {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", in.Instance, in.Role, in.FailureDomain,
			stateOf(in), in.ConfigRevision, in.Service, layersOf(in), activeOf(in))
	}
	tw.Flush()
}

func stateOf(in *v1.InstanceStatus) string {
	switch {
	case !in.Reachable:
		return "no answer"
	case in.Leaving:
		return "leaving"
	}
	return "up"
}

func layersOf(in *v1.InstanceStatus) string {
	if in.ToLayer == 0 {
		return ""
	}
	return fmt.Sprintf("%d-%d", in.FromLayer, in.ToLayer)
}

func activeOf(in *v1.InstanceStatus) string {
	if in.Capacity == 0 {
		return ""
	}
	return fmt.Sprintf("%d/%d", in.Active, in.Capacity)
}

func (a *app) newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				s, err := settings.Load(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(a.out, "%s: %s %s, in order\n", path, s.Role, s.Instance)
			}
			return nil
		},
	})
	return cmd
}
