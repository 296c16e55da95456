package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
)

type problemsOptions struct {
	operatorOptions
	own bool
}

func problemsCommand() *command {
	parser := flaggy.NewSubcommand("problems")
	parser.Description = "list the problems of all nodes; exit code 1 if there are any"
	var options problemsOptions
	options.addFlags(parser)
	parser.Bool(&options.own, "o", "own", "list only the problems of the addressed node")
	return &command{
		parser:  parser,
		example: "pistachiopier problems --address 10.0.0.1:7003",
		run:     func(out io.Writer) error { return problems(options, out) },
	}
}

func problems(options problemsOptions, out io.Writer) error {
	path := "/v1/problems?fleet=1"
	if options.own {
		path = "/v1/problems"
	}
	var report api.ProblemsReport
	err := callOperator(options.address, fleetTimeout, func(ctx context.Context, operator *client.Client) error {
		return operator.Get(ctx, options.address, path, &report)
	})
	if err != nil {
		return err
	}
	if err := printProblems(report, options.json, out); err != nil {
		return err
	}
	if report.Count() > 0 || len(report.NoAnswer) > 0 {
		return errReported
	}
	return nil
}

func printProblems(report api.ProblemsReport, asJSON bool, out io.Writer) error {
	if asJSON {
		return printJSON(report, out)
	}
	if report.Count() == 0 {
		fmt.Fprintf(out, "no problems on %d nodes\n", len(report.Nodes))
	} else {
		printProblemTable(report, out)
	}
	for _, missing := range report.NoAnswer {
		fmt.Fprintf(out, "no answer from node %s: %s\n", missing.Node, missing.Why)
	}
	return nil
}

func printProblemTable(report api.ProblemsReport, out io.Writer) {
	table := newTable(out)
	fmt.Fprintln(table, "NODE\tPROBLEM\tSUBJECT\tSINCE\tLAST\tTIMES\tDETAIL")
	for _, node := range report.Nodes {
		for _, problem := range node.Problems {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s ago\t%s ago\t%d\t%s\n", node.Node, problem.Kind, problem.Subject, age(problem.FirstAgeMs), age(problem.LastAgeMs), problem.Count, problem.Detail)
		}
	}
	_ = table.Flush()
}

func age(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}
