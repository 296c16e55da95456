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
	parser.Description = "run a node until SIGINT or SIGTERM"
	var path string
	parser.String(&path, "s", "settings", "the YAML file with the settings of the node (required)")
	return &command{
		parser:  parser,
		example: "pistachiopier serve --settings node.yaml",
		run:     func(out io.Writer) error { return serve(path, out) },
	}
}

func serve(path string, out io.Writer) error {
	if path == "" {
		return usageError("serve needs --settings FILE", "see docs/SETTINGS.md for the settings")
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := logs.New(out, s.LogLevel)
	if err != nil {
		return err
	}
	shutdown, stop := shutdownContext()
	defer stop()
	node := app.New(s, log)
	if err := node.Err(); err != nil {
		return err
	}
	if err := node.Start(shutdown); err != nil {
		return err
	}
	<-shutdown.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopWait)
	defer cancel()
	return node.Stop(ctx)
}
