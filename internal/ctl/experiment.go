package ctl

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkwood/skylarkwood/internal/experiment"
)

// newExperiment returns the command group that compares plans. It needs no running system.
func (a *app) newExperiment() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Evaluate planning offline, without a running system"}
	cmd.AddCommand(a.newExperimentPlan())
	return cmd
}

func (a *app) newExperimentPlan() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Compare ways to place a model's layers on the engines of a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			site, err := experiment.Read(raw)
			if err != nil {
				return errors.Wrap(err, args[0])
			}
			r := experiment.Report{
				Title:   fmt.Sprintf("Plans for %d engines, %d layers", len(site.Engines), site.Spec.Layers),
				Results: experiment.Compare(site, experiment.Planners()),
			}
			return a.showReport(r, path)
		},
	}
	cmd.Flags().StringVar(&path, "report", "", "HTML file to write the report to")
	return cmd
}
