package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/app"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/settings"
)

func serveCommand() *command {
	parser := flaggy.NewSubcommand("serve")
	parser.Description = "run a node until it is told to stop"
	var path string
	parser.String(&path, "s", "settings", "the node's YAML settings (required)")
	return &command{
		parser:  parser,
		example: "pistachiopier serve --settings node.yaml",
		run:     func(out io.Writer) error { return serve(path, out) },
	}
}

func serve(path string, out io.Writer) error {
	if path == "" {
		return usage("serve needs --settings FILE", "see docs/SETTINGS.md for what it holds")
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := logs.New(out, s.LogLevel)
	if err != nil {
		return err
	}
	signals, stop := untilStopped()
	defer stop()
	node := app.New(s, log)
	if err := node.Err(); err != nil {
		return err
	}
	if err := node.Start(signals); err != nil {
		return err
	}
	<-signals.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopWait)
	defer cancel()
	return node.Stop(ctx)
}
